package event

import "go.uber.org/zap/zapcore"

// Events of settings (300 to 399).
var (
	SettingsFileReloaded = Info{300, zapcore.InfoLevel, "settings file reloaded", "The file of the process settings was read again and is valid; its changes take effect only after a restart. The field states whether the listen addresses are unchanged."}
	SettingsFileInvalid  = Info{301, zapcore.ErrorLevel, "settings file invalid", "The file of the process settings is not usable; the previous settings stay in force."}
)

var settingsTable = []Info{SettingsFileReloaded, SettingsFileInvalid}
