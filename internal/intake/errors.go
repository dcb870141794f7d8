package intake

import (
	"errors"
	"fmt"
)

// errUnavailable reports that a request cannot be evaluated or stored at present; the user may retry it.
var errUnavailable = errors.New("try again later")

// errStoreUnavailable is the errUnavailable for a key-value store that does not respond to this controller.
var errStoreUnavailable = fmt.Errorf("%w: the state service does not answer", errUnavailable)

// rejectedError reports that a submitted job can never run; a retry would be rejected too.
type rejectedError struct{ reason string }

func (e rejectedError) Error() string { return e.reason }

var (
	errDescriptionTooLarge = rejectedError{"its description is too large to store"}
	errTooManyDependencies = rejectedError{"it awaits more jobs than can be stored with its description"}
)

// wrapUnavailable wraps the error of a failed call to the store in errUnavailable.
func wrapUnavailable(cause error) error { return fmt.Errorf("%w: %w", errUnavailable, cause) }
