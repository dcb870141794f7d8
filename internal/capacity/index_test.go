package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

var testStart = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

var testType = placement.InstanceType{Label: "small", Cores: 4, RAM: 16, CacheGB: 2}

// newTestIndex returns an index with the given number of machines, all of which have reported.
func newTestIndex(machines int) *Index {
	registry := worker.NewRegistry(20)
	index := NewIndex(registry)
	index.SetTypes([]placement.InstanceType{testType})
	for i := range machines {
		name := ids.Machine(fmt.Sprintf("m%d", i))
		machine := registry.Ensure(name, testStart, testStart)
		machine.Type, machine.Zone, machine.Spot, machine.HasReported = testType.Label, []string{"north", "south"}[i%2], i%3 == 0, true
		index.Reindex(index.Ensure(name))
	}
	return index
}

func newTestAssignment(jobType record.JobType, cores float64, image string) *workload.Assignment {
	spec := record.Spec{ID: "job", JobType: jobType, Tasks: 1, Resources: placement.Resources{Cores: cores, RAM: 1}, Image: image, EstimatedDuration: 30}
	return &workload.Assignment{Job: workload.NewJob(record.New(spec, ids.TimestampOf(testStart), "writer"), 1)}
}

// checkNode checks the resource sums and the list memberships of a node against its assignments and images.
func checkNode(t *testing.T, index *Index, node *Node) {
	t.Helper()
	var used, reclaimable float64
	replicas := 0
	for assignment := range node.Assignments {
		spec := &assignment.Job.Record.Spec
		used += spec.Resources.Cores
		if spec.JobType == record.Service {
			replicas++
		} else {
			reclaimable += spec.Resources.Cores
		}
	}
	if math.Abs(node.Used.Cores-used) > 1e-9 || math.Abs(node.Reclaimable.Cores-reclaimable) > 1e-9 || node.Replicas != replicas {
		t.Fatalf("node %s: used %v cores, reclaimable %v cores, %d replicas; want %v, %v, %d", node.Name, node.Used.Cores, node.Reclaimable.Cores, node.Replicas, used, reclaimable, replicas)
	}
	machine := index.machines.Machines[node.Name]
	for _, image := range machine.Images.Names {
		if !index.WithImage(image)[node] {
			t.Fatalf("node %s is not listed under image %s, which it has cached", node.Name, image)
		}
	}
	if open := !machine.Deleting && used < testType.Cores-1e-3; (node.Class != nil) != open {
		t.Fatalf("node %s is listed in its class: %v, want %v with %v cores in use", node.Name, node.Class != nil, open, used)
	}
}

func TestIndexStaysConsistentUnderRandomChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := newTestIndex(12)
	images := []string{"a", "b", "c", "d"}
	type allocation struct {
		assignment *workload.Assignment
		node       *Node
	}
	var allocated []allocation
	for range 4000 {
		node := index.Node(ids.Machine(fmt.Sprintf("m%d", rng.IntN(12))))
		machine := index.machines.Machines[node.Name]
		switch rng.IntN(6) {
		case 0, 1:
			jobType := []record.JobType{record.Array, record.Gang, record.Service}[rng.IntN(3)]
			assignment := newTestAssignment(jobType, 0.1+rng.Float64(), images[rng.IntN(len(images))])
			if node.Class != nil && node.Free().Holds(assignment.Job.Record.Spec.Resources) {
				index.Allocate(node, assignment)
				allocated = append(allocated, allocation{assignment, node})
			}
		case 2, 3:
			if len(allocated) > 0 {
				i := rng.IntN(len(allocated))
				node = allocated[i].node
				index.Release(node, allocated[i].assignment)
				index.Release(node, allocated[i].assignment) // the second call must have no effect
				allocated = slices.Delete(allocated, i, i+1)
			}
		case 4:
			index.ImageArrived(node, machine, images[rng.IntN(len(images))], 1, testType.CacheGB)
		case 5:
			machine.Deleting = rng.IntN(4) == 0
			index.Reindex(node)
		}
		if err := index.CheckConsistency(); err != nil {
			t.Fatal(err)
		}
		checkNode(t, index, node)
	}
	for _, left := range allocated {
		node := left.node
		index.Release(node, left.assignment)
		if len(node.Assignments) == 0 && (node.Used != placement.Resources{} || len(node.ImagePulls) > 0) {
			t.Errorf("node %s has no assignments, but %v in use and %d image pulls", node.Name, node.Used, len(node.ImagePulls))
		}
	}
}

func TestClassesAreSortedAndHaveTheirNodes(t *testing.T) {
	index := newTestIndex(6)
	got := ""
	for _, class := range index.Classes() {
		got += fmt.Sprintf("%s/%s/%v:%d ", class.Type, class.Zone, class.Spot, len(class.OpenNodes))
	}
	if want := "small/north/false:2 small/north/true:1 small/south/false:2 small/south/true:1 "; got != want {
		t.Errorf("classes and their node counts: %s, want %s", got, want)
	}
	index.Remove("m0")
	if index.Node("m0") != nil || index.machines.Machines["m0"] != nil || len(index.Classes()[1].OpenNodes) != 0 {
		t.Error("the removed machine is still in the index or in the registry")
	}
}

func TestNodesAreListedUnderImagesThatTheyHaveOrPull(t *testing.T) {
	index := newTestIndex(1)
	node, machine := index.Node("m0"), index.machines.Machines["m0"]
	listed := func(image string) bool { return index.WithImage(image)[node] }
	first, second := newTestAssignment(record.Array, 1, "a"), newTestAssignment(record.Array, 1, "a")
	index.Allocate(node, first)
	index.Allocate(node, second)
	index.EndImagePull(node, first)
	if !listed("a") || node.ImagePulls["a"] == nil {
		t.Error("the node is not listed under an image for which a task waits")
	}
	index.Release(node, second)
	if listed("a") || node.ImagePulls["a"] != nil {
		t.Error("the node is listed under an image whose pull was not completed")
	}
	for _, image := range []string{"a", "b", "c"} { // the cache has room for two of them
		index.ImageArrived(node, machine, image, 1, testType.CacheGB)
	}
	if listed("a") || !listed("b") || !listed("c") {
		t.Errorf("node is listed under image a: %v, b: %v, c: %v; want only b and c", listed("a"), listed("b"), listed("c"))
	}
}

func TestNodesAreFreeWhenTheirLongestTaskEnds(t *testing.T) {
	now := testStart.Add(10 * time.Second)
	for _, c := range []struct {
		name    string
		jobType record.JobType
		status  string
		since   time.Time
		want    time.Duration
	}{
		{"running", record.Array, worker.StateRunning, testStart, 20 * time.Second},
		{"pulling its image", record.Array, worker.StatePulling, testStart, 30 * time.Second},
		{"not running yet", record.Gang, worker.StateWaiting, time.Time{}, 30 * time.Second},
		{"longer than its estimate", record.Array, worker.StateRunning, testStart.Add(-time.Minute), time.Second},
		{"a service", record.Service, worker.StateRunning, testStart, 0},
	} {
		index := newTestIndex(1)
		assignment := newTestAssignment(c.jobType, 1, "a")
		assignment.Status, assignment.RunningSince = c.status, c.since
		index.Allocate(index.Node("m0"), assignment)
		if got := index.Node("m0").TimeUntilFree(now); got != c.want {
			t.Errorf("%s: free after %v, want %v", c.name, got, c.want)
		}
	}
}
