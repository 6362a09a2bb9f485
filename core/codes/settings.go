package codes

// Results of settings changes and operator commands (6000 to 6999).
const (
	SettingsAccepted         Code = 6000
	SettingsUnchanged        Code = 6001
	SettingsValid            Code = 6002
	SettingsInvalid          Code = 6003
	SettingsConflict         Code = 6004
	SettingsStoreUnavailable Code = 6005
	SettingsOutcomeUnknown   Code = 6006
	SettingsNotFound         Code = 6007
	SettingsDamaged          Code = 6008
	CommandUsage             Code = 6009
	CommandFailed            Code = 6010
	AdminUnavailable         Code = 6011
	AdminRefused             Code = 6012
	SettingsDryRun           Code = 6013
	BlocksValid              Code = 6014
	BlocksInvalid            Code = 6015
	BlocksPruned             Code = 6016
	BlocksDamaged            Code = 6017
)

var settingsTable = []Info{
	{SettingsAccepted, "settings_accepted", "The change was accepted as a new revision.", "None."},
	{SettingsUnchanged, "settings_unchanged", "The settings in force already contain the change; nothing was written.", "None."},
	{SettingsValid, "settings_valid", "The file is a valid settings tree.", "None."},
	{SettingsInvalid, "settings_invalid", "The settings tree has problems, each listed with its path; nothing was written.", "Correct the named paths."},
	{SettingsConflict, "settings_conflict", "Another change was accepted first; no part of this change is in force.", "Compare both changes, edit the newest revision and apply again."},
	{SettingsStoreUnavailable, "settings_store_unavailable", "The store refused or never received the call; no revision was accepted.", "Retry later; the current settings stay in force."},
	{SettingsOutcomeUnknown, "settings_outcome_unknown", "The store's response was lost and the outcome could not be determined.", "Look for the change id in the history before applying again."},
	{SettingsNotFound, "settings_not_found", "The revision, service, zone, target, shift, block or block map does not exist.", "Correct the name."},
	{SettingsDamaged, "settings_damaged", "The content of a revision does not match its digest.", "Roll back to another revision and report the store."},
	{CommandUsage, "command_usage", "The command line is not valid.", "See the command's help."},
	{CommandFailed, "command_failed", "The command failed for the reason given.", "Act on the reason."},
	{AdminUnavailable, "admin_unavailable", "The administration API did not respond.", "Ask another host."},
	{AdminRefused, "admin_refused", "The administration API refused the call.", "Check the token and the names."},
	{SettingsDryRun, "settings_dry_run", "The change would be accepted; nothing was written.", "None."},
	{BlocksValid, "blocks_valid", "The file is a valid client block map.", "None."},
	{BlocksInvalid, "blocks_invalid", "The block file has errors, each listed with its line; nothing was written.", "Correct the named lines."},
	{BlocksPruned, "blocks_pruned", "Objects of block maps that no retained revision refers to were removed.", "None."},
	{BlocksDamaged, "blocks_damaged", "The content of an object of a block map does not match its name.", "Roll back to a revision with another map and report the store."},
}
