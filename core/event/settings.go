package event

import "go.uber.org/zap/zapcore"

// Events of settings (300 to 399).
var (
	SettingsFileReloaded = Info{300, zapcore.InfoLevel, "settings file reloaded", "The file of the process settings has changed; changes of addresses, region and zone take effect only after a restart."}
	SettingsFileInvalid  = Info{301, zapcore.ErrorLevel, "settings file invalid", "The file of the process settings is not usable; the previous settings stay in force."}
)

var settingsTable = []Info{SettingsFileReloaded, SettingsFileInvalid}
