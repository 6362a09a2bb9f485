package event

// Events of settings (300 to 399).
var settingsTable = []Info{}
