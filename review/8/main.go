// Command 8 is the eighth case of the reviews: a submission that lacks a field is accepted, because an unknown field
// whose name differs only in upper and lower case is taken for it.
package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/review/harness2"
)

func main() { harness2.Main(harness2.SmallKiosk(), story) }

func story(c *harness2.Cluster, u *harness2.Users, trouble bool) error {
	if err := c.StartAll(20 * time.Second); err != nil {
		return err
	}
	c.Cloud.Up("bothy", "leith", false)
	sound := harness2.NewArray(100, "kioskops-00", 1, 1)
	if status := u.SubmitUntil(c.Controllers[0], sound); status != 201 {
		return fmt.Errorf("a sound submission is not accepted: %d", status)
	}
	for i, missing := range []string{"cores", "pieces", "owner", "stashS"} {
		job := harness2.NewArray(200+i, "kioskops-00", 1, 1)
		body, err := fields(job)
		if err != nil {
			return err
		}
		if trouble {
			body[upper(missing)] = body[missing] // a field that the pages don't know
			delete(body, missing)
		}
		status := u.SubmitBody(c.Controllers[i%3], job, body)
		switch accepted := status == 200 || status == 201; {
		case !trouble && !accepted:
			return fmt.Errorf("a sound submission is not accepted: %d", status)
		case trouble && accepted:
			c.World.Record.Breach("400", "%s is accepted with %d although it lacks %s", job.ID, status, missing)
		}
	}
	time.Sleep(6 * time.Second) // the record shows whether they run
	return nil
}

// fields returns the fields of a submission.
func fields(job *harness2.Job) (map[string]any, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	body := map[string]any{}
	return body, json.Unmarshal(raw, &body)
}

// upper returns a name with its first letter in upper case.
func upper(name string) string { return string(name[0]-'a'+'A') + name[1:] }
