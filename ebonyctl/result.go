package main

import (
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/config"
)

// Exit codes of ebonyctl.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitInvalid        = 3
	exitConflict       = 4
	exitUnavailable    = 5
	exitOutcomeUnknown = 6
	exitNotFound       = 7
	exitRefused        = 8
)

// errUsage means that the command line is invalid.
const errUsage = errors.ConstError("invalid command line")

// errAdminRefused means that the administration API returned an error status.
const errAdminRefused = errors.ConstError("administration API refused the call")

// errAdminUnavailable means that there was no complete response from the administration API.
const errAdminUnavailable = errors.ConstError("administration API unavailable")

// result is the result code and the exit code of a failed command.
type result struct {
	code codes.Code
	exit int
}

// name returns the name of the result code.
func (r result) name() string {
	return codes.Name(r.code)
}

// classify maps the error of a command to its result code and exit code.
func classify(err error) result {
	var problems *config.ProblemsError
	var conflict *config.ConflictError
	var faults *blocks.FaultsError
	switch {
	case errors.As(err, &faults):
		return result{codes.BlocksInvalid, exitInvalid}
	case errors.As(err, &problems):
		return result{codes.SettingsInvalid, exitInvalid}
	case errors.As(err, &conflict):
		return result{codes.SettingsConflict, exitConflict}
	case errors.Is(err, core.ErrUncertain):
		return result{codes.SettingsOutcomeUnknown, exitOutcomeUnknown}
	case errors.Is(err, core.ErrUnavailable):
		return result{codes.SettingsStoreUnavailable, exitUnavailable}
	case errors.Is(err, core.ErrNotFound), errors.Is(err, errors.NotFound):
		return result{codes.SettingsNotFound, exitNotFound}
	case errors.Is(err, config.ErrDigestMismatch):
		return result{codes.SettingsDamaged, exitFailed}
	case errors.Is(err, blocks.ErrDamaged):
		return result{codes.BlocksDamaged, exitFailed}
	case errors.Is(err, errUsage):
		return result{codes.CommandUsage, exitUsage}
	case errors.Is(err, errAdminUnavailable):
		return result{codes.AdminUnavailable, exitUnavailable}
	case errors.Is(err, errAdminRefused):
		return result{codes.AdminRefused, exitRefused}
	}
	return result{codes.CommandFailed, exitFailed}
}

// usageError returns an error of type errUsage with the formatted text.
func usageError(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errUsage)
}
