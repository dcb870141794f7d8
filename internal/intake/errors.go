package intake

import (
	"errors"
	"fmt"
)

// errUnavailable reports that a request can't be decided or stored now; the user may retry it.
var errUnavailable = errors.New("try again later")

// errStoreSilent is errUnavailable because the key-value store does not answer this controller.
var errStoreSilent = fmt.Errorf("%w: the state service does not answer", errUnavailable)

// rejectedError reports that a submitted job can never run; a retry is rejected as well.
type rejectedError struct{ reason string }

func (e rejectedError) Error() string { return e.reason }

var (
	errDescriptionTooLarge = rejectedError{"its description is too large to store"}
	errTooManyDependencies = rejectedError{"it awaits more jobs than can be stored with its description"}
)

// unavailable turns the failure of a call to the store into errUnavailable.
func unavailable(cause error) error { return fmt.Errorf("%w: %w", errUnavailable, cause) }
