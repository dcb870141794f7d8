package rehearsal

import (
	"testing"
)

func TestFakeCloudProvisionsUpToItsCapacity(t *testing.T) {
	t.Parallel()
	// Booted machines listen on real sockets, which must be closed with the cluster.
	cluster, err := newLocalCluster(clusterOptions{Folder: t.TempDir(), Program: "/nonexistent", Teams: []Team{redTeam}, Controllers: 2, Machines: 2})
	if err != nil {
		t.Fatal(err)
	}
	if err := cluster.start(cluster.controllers[0]); err == nil {
		t.Error("a controller with a nonexistent executable was started")
	}
	name, ok := cluster.cloud.startMachine("north")
	if !ok || len(cluster.cloud.listMachines("")) != 1 || cluster.cloud.capacity != 1 {
		t.Errorf("after the start of machine %q, the cloud lists %v", name, cluster.cloud.listMachines(""))
	}
	if err := cluster.close(); err != nil {
		t.Error(err)
	}
}
