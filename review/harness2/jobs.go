package harness2

import (
	"fmt"
	"strconv"
	"strings"
)

// Job is a submission as users send it.
type Job struct {
	ID       string   `json:"uid"`
	Class    string   `json:"jobkind"`
	Team     string   `json:"owner"`
	Shape    string   `json:"shape"`
	Urgency  string   `json:"urgency"`
	Pieces   int      `json:"pieces"`
	Cores    float64  `json:"cores"`
	Accels   float64  `json:"accelerators"`
	RAM      float64  `json:"ramGb"`
	Image    string   `json:"bundle"`
	ImageGB  float64  `json:"pullGb"`
	Builds   []string `json:"builds"`
	Zone     *string  `json:"yard"`
	OneZone  bool     `json:"together"`
	Spread   bool     `json:"spread"`
	Spot     bool     `json:"loaners"`
	Guess    float64  `json:"guessS"`
	Bookmark float64  `json:"bookmarkS"`
	Stash    float64  `json:"stashS"`
	Due      *float64 `json:"dueS"`
	Awaits   []string `json:"awaits,omitempty"`

	// RunS is how long a task runs.
	RunS float64 `json:"-"`
}

// NewArray returns an array of tasks of one core each.
func NewArray(number int, team string, pieces int, runS float64) *Job {
	return &Job{ID: JobID(number), Class: "batch", Team: team, Shape: "array", Urgency: "normal", Pieces: pieces, Cores: 1, RAM: 1,
		Image: "img-1", ImageGB: 0.1, Guess: runS, RunS: runS}
}

// JobID returns the id of a job with a number.
func JobID(number int) string { return fmt.Sprintf("job-%06d", number) }

// splitPiece returns the job and the index of a task; index -1 if it is malformed.
func splitPiece(piece string) (job string, index int) {
	job, text, _ := strings.Cut(piece, "/")
	index, err := strconv.Atoi(text)
	if err != nil {
		return job, -1
	}
	return job, index
}
