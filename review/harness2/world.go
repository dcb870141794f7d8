package harness2

import (
	"sync"
	"time"
)

// Team is a team with its limits; 0 is no limit.
type Team struct {
	Name                         string
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Timing contains the settings of the workers, in seconds.
type Timing struct{ Report, Lease, GangWait, GangPeer, Cancel float64 }

// MachineType is a machine type of the cloud.
type MachineType struct {
	Label        string   `json:"label"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ramGb"`
	Local        float64  `json:"localGb"`
	PullRate     float64  `json:"pullGbPerS"`
	Price        float64  `json:"price"`
	MarketPrice  float64  `json:"marketPrice"`
	BootS        float64  `json:"bootS"`
	Zones        []string `json:"yards"`
}

// World holds the workers and what users have been told, and checks the rules. One lock guards all of it, so that
// the moments of starts and ends are in one order.
type World struct {
	Record *Record
	Timing Timing
	Types  map[string]MachineType
	Teams  map[string]Team

	mu        sync.Mutex
	jobs      map[string]*Job
	workers   map[string]*Worker
	results   map[string]bool      // tasks that are done
	onMachine map[string][]*task   // tasks on machines, by name
	cancelled map[string]time.Time // when a user was told that the job is cancelled
	// pullTime, if set, decides how long the fetch of an image takes.
	pullTime func(machine, image string) (time.Duration, bool)
	onStart  func(Started)
}

// NewWorld returns a world without machines.
func NewWorld(record *Record, timing Timing, types []MachineType, teams []Team) *World {
	w := &World{Record: record, Timing: timing, Types: map[string]MachineType{}, Teams: map[string]Team{}, jobs: map[string]*Job{}, workers: map[string]*Worker{},
		results: map[string]bool{}, onMachine: map[string][]*task{}, cancelled: map[string]time.Time{}}
	for _, t := range types {
		w.Types[t.Label] = t
	}
	for _, t := range teams {
		w.Teams[t.Name] = t
	}
	go w.run()
	return w
}

// SetPullTime sets a function that decides how long the fetch of an image takes.
func (w *World) SetPullTime(f func(machine, image string) (time.Duration, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pullTime = f
}

// Started is a task that gets onto a machine.
type Started struct {
	Piece, Job, Machine string
	Commanded           time.Time // when its start command arrived
	Told                time.Time // when a user was told that the job is cancelled; zero if none was
}

// OnStart sets a function that is called, in a goroutine of its own, for each task that gets onto a machine.
func (w *World) OnStart(f func(Started)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = f
}

// Upload makes a job known to the workers, as users do before they submit it.
func (w *World) Upload(job *Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = job
}

// ToldCancelled records that a user was told that a job is cancelled.
func (w *World) ToldCancelled(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, told := w.cancelled[job]; !told {
		w.cancelled[job] = time.Now()
	}
}

// DoneTasks returns how many tasks of a job are done.
func (w *World) DoneTasks(job string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doneTasks(job)
}

func (w *World) doneTasks(job string) (n int) {
	for piece := range w.results {
		if name, _ := splitPiece(piece); name == job {
			n++
		}
	}
	return n
}

// OnMachines returns on which machines tasks of a job are, by task.
func (w *World) OnMachines(job string) map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := map[string]string{}
	for piece, tasks := range w.onMachine {
		if name, _ := splitPiece(piece); name == job {
			for _, t := range tasks {
				found[piece] = t.worker.Name
			}
		}
	}
	return found
}

// FinishTask lets a running task complete now, and reports whether there was one.
func (w *World) FinishTask(piece string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.onMachine[piece] {
		if t.status == "running" {
			t.until = time.Now()
			return true
		}
	}
	return false
}

// EndPull ends the fetch of an image on a machine now, and reports whether there was one.
func (w *World) EndPull(machine string) (found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if worker := w.workers[machine]; worker != nil {
		for _, t := range worker.tasks {
			if t.status == "pulling" {
				t.until, found = time.Now(), true
			}
		}
	}
	return found
}

// Pulling reports whether a task of a job waits for its image on a machine.
func (w *World) Pulling(machine, job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if worker := w.workers[machine]; worker != nil {
		for _, t := range worker.tasks {
			if t.status == "pulling" && t.job.ID == job {
				return true
			}
		}
	}
	return false
}

// stepInterval is how often workers look at their tasks and leases.
const stepInterval = 10 * time.Millisecond

func (w *World) run() {
	for {
		time.Sleep(stepInterval)
		w.mu.Lock()
		now := time.Now()
		for _, worker := range w.workers {
			worker.step(now)
		}
		w.checkCancelled(now)
		w.mu.Unlock()
	}
}

// checkCancelled checks the rule ran_cancelled for the tasks that are on machines.
func (w *World) checkCancelled(now time.Time) {
	limit := time.Duration(w.Timing.Cancel * float64(time.Second))
	for piece, tasks := range w.onMachine {
		job, _ := splitPiece(piece)
		if told, is := w.cancelled[job]; is && now.Sub(told) > limit {
			for _, t := range tasks {
				if !t.late {
					t.late = true
					w.Record.Breach("ran_cancelled", "%s is on %s, %.1f s after its user was told that the job is cancelled", piece, t.worker.Name, now.Sub(told).Seconds())
				}
			}
		}
	}
}

// enter records that a task has its image, and checks the rules on starts.
func (w *World) enter(t *task, now time.Time) {
	for _, other := range w.onMachine[t.piece] {
		w.Record.Breach("ran_twice", "%s (try %d) starts on %s while it is on %s (try %d)", t.piece, t.try, t.worker.Name, other.worker.Name, other.try)
	}
	w.onMachine[t.piece] = append(w.onMachine[t.piece], t)
	w.Record.Add("start %s try %d on %s (%s, %s)", t.piece, t.try, t.worker.Name, t.worker.Type, t.worker.Zone)
	w.checkQuota(t)
	w.checkPlace(t)
	for _, id := range t.job.Awaits {
		if job := w.jobs[id]; job != nil && w.doneTasks(id) < job.Pieces {
			w.Record.Breach("too_early", "%s starts before %s is done", t.piece, id)
		}
	}
	if told, is := w.cancelled[t.job.ID]; is {
		w.Record.Add("NOTE %s starts %.3f s after its user was told that the job is cancelled; commanded %.3f s after that", t.piece,
			now.Sub(told).Seconds(), t.commanded.Sub(told).Seconds())
	}
	if w.onStart != nil {
		go w.onStart(Started{t.piece, t.job.ID, t.worker.Name, t.commanded, w.cancelled[t.job.ID]})
	}
}

// leave records that a task is gone from its machine.
func (w *World) leave(t *task, cause string) {
	list := w.onMachine[t.piece]
	for i, other := range list {
		if other == t {
			w.onMachine[t.piece] = append(list[:i:i], list[i+1:]...)
			w.Record.Add("end %s try %d on %s: %s", t.piece, t.try, t.worker.Name, cause)
		}
	}
	if len(w.onMachine[t.piece]) == 0 {
		delete(w.onMachine, t.piece)
	}
}

func (w *World) checkQuota(started *task) {
	team := w.Teams[started.job.Team]
	var cores, accels float64
	for _, tasks := range w.onMachine {
		for _, t := range tasks {
			if t.job.Team == team.Name {
				cores += t.job.Cores
				accels += t.job.Accels
			}
		}
	}
	const rounding = 1e-6
	if team.CPUsMax > 0 && cores > team.CPUsMax+rounding || team.GPUsMax > 0 && accels > team.GPUsMax+rounding {
		w.Record.Breach("quota", "team %s uses %g cores of %g and %g accelerators of %g at the start of %s", team.Name, cores, team.CPUsMax, accels, team.GPUsMax, started.piece)
	}
}

func (w *World) checkPlace(started *task) {
	job, worker := started.job, started.worker
	wrong := job.Zone != nil && worker.Zone != *job.Zone || worker.Spot && !job.Spot
	if job.Builds != nil {
		allowed := false
		for _, label := range job.Builds {
			allowed = allowed || label == worker.Type
		}
		wrong = wrong || !allowed
	}
	inZone := 0
	for piece, tasks := range w.onMachine {
		if name, _ := splitPiece(piece); name != job.ID {
			continue
		}
		for _, t := range tasks {
			if t.worker.Zone == worker.Zone {
				inZone++
			} else if job.OneZone {
				wrong = true
			}
		}
	}
	if wrong || job.Spread && inZone > (job.Pieces+1)/2 {
		w.Record.Breach("wrong_place", "%s starts on %s (%s, %s)", started.piece, worker.Name, worker.Type, worker.Zone)
	}
}
