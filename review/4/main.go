// Command 4 is the fourth case of the reviews: a controller that comes back at once after a crash says of an accepted
// job that it was never accepted.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/review/harness2"
)

const (
	backlog    = 1060                 // unfinished jobs, more than one page of the state service
	dependents = 8                    // jobs that await the same job
	answerTime = 8 * time.Millisecond // of the state service: usually under 10 ms
	crashes    = 6                    // as many controllers end on the day "rough" of the site
)

// The zone in which the many jobs wait for room, and the one that has room.
var full, free = "katutura", "olympia"

func main() { harness2.Main(harness2.SmallFare(), story) }

func story(c *harness2.Cluster, u *harness2.Users, trouble bool) error {
	if err := c.StartAll(20 * time.Second); err != nil {
		return err
	}
	c.Cloud.Up("kudu", "katutura", false)
	for range 3 {
		c.Cloud.Up("kudu", "olympia", false)
	}
	c.Cloud.SetCapacity("kudu", "olympia", 4)
	c.State.SetLatency(answerTime)
	if err := submitBacklog(c, u); err != nil {
		return err
	}
	for round := 0; round < crashes && len(c.World.Record.Breaches()) == 0; round++ {
		if err := playRound(c, u, trouble, round); err != nil {
			return err
		}
	}
	return nil
}

// submitBacklog submits many small jobs, for which there is too little room.
func submitBacklog(c *harness2.Cluster, u *harness2.Users) error {
	var users sync.WaitGroup
	refused := make(chan string, backlog)
	const atOnce = 24
	for user := range atOnce {
		users.Go(func() {
			for i := user; i < backlog; i += atOnce {
				job := harness2.NewArray(500000+i*7, "revenuedesk-00", 1, 300)
				job.Zone = &full
				if status := u.SubmitUntil(c.Controllers[i%3], job); status != 201 && status != 200 {
					refused <- fmt.Sprint(job.ID, " is not accepted: ", status)
				}
			}
		})
	}
	users.Wait()
	c.World.Record.Add("%d unfinished jobs", c.State.Count("job/"))
	select {
	case text := <-refused:
		return fmt.Errorf("%s", text)
	default:
		return nil
	}
}

// playRound lets a job end that others await, while a controller that does not lead crashes and comes back. Users
// of the jobs that awaited it ask that controller as soon as it takes connections.
func playRound(c *harness2.Cluster, u *harness2.Users, trouble bool, round int) error {
	leader := c.Leader()
	if leader == nil {
		time.Sleep(3 * time.Second)
		return nil
	}
	victim := c.Controllers[round%3]
	if victim == leader {
		victim = c.Controllers[(round+1)%3]
	}
	first := harness2.NewArray(100000+round*100, "revenuedesk-01", 1, 600)
	first.Zone = &free
	if status := u.SubmitUntil(leader, first); status != 201 {
		return fmt.Errorf("%s is not accepted: %d", first.ID, status)
	}
	var jobs []string
	for i := range dependents {
		job := harness2.NewArray(100001+round*100+i, "revenuedesk-01", 1, 1)
		job.Zone, job.Awaits = &free, []string{first.ID}
		if status := u.SubmitUntil(leader, job); status != 201 {
			return fmt.Errorf("%s is not accepted: %d", job.ID, status)
		}
		jobs = append(jobs, job.ID)
	}
	if err := awaitRunning(c, first.ID); err != nil {
		return err
	}
	if trouble {
		victim.Kill()
		time.Sleep(200 * time.Millisecond)
	}
	c.World.Record.Add("the task of %s ends: %v", first.ID, c.World.FinishTask(first.ID+"/0"))
	if trouble {
		time.Sleep(time.Duration(round%4*10) * time.Millisecond)
		if err := victim.Start(); err != nil {
			return err
		}
	}
	ask(u, victim, jobs)
	time.Sleep(time.Second)
	ask(u, victim, jobs)
	return awaitEnd(u, leader, jobs)
}

// awaitEnd waits until jobs are done, so that the next round has room.
func awaitEnd(u *harness2.Users, at *harness2.Controller, jobs []string) error {
	for _, job := range jobs {
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
			if _, state := u.Poll(at, job, 2*time.Second); state == "done" {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not done", job)
			}
		}
	}
	return nil
}

func awaitRunning(c *harness2.Cluster, job string) error {
	for until := time.Now().Add(20 * time.Second); len(c.World.OnMachines(job)) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s does not start", job)
		}
	}
	return nil
}

// ask lets the user of each job ask a controller once, as soon as it takes the connection.
func ask(u *harness2.Users, at *harness2.Controller, jobs []string) {
	var users sync.WaitGroup
	for _, job := range jobs {
		users.Go(func() {
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
				if status, _ := u.Poll(at, job, 2*time.Second); status != 0 {
					return
				}
			}
		})
	}
	users.Wait()
}
