package harness2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxCase bounds the time of a case.
const maxCase = 115 * time.Second

// Main runs a case whose folder is its first argument, and ends the program with the case's exit code. The second
// argument is the repository.
func Main(setup *Setup, story func(c *Cluster, u *Users, trouble bool) error) {
	os.Exit(run(setup, story))
}

func run(setup *Setup, story func(c *Cluster, u *Users, trouble bool) error) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: CASE FOLDER REPOSITORY")
		return failed
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	} else {
		fmt.Println(folder)
	}
	setup.Folder, setup.Root = folder, os.Args[2]
	cluster, err := New(record, setup)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer cluster.KillAll()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("trouble: %v", trouble)
	ended := make(chan error, 1)
	go func() { ended <- story(cluster, NewUsers(cluster.World), trouble) }()
	select {
	case err = <-ended:
	case <-stopped:
		err = fmt.Errorf("told to stop")
	case <-time.After(maxCase):
		err = fmt.Errorf("not at its end after %v", maxCase)
	}
	breaches := record.Breaches()
	for _, breach := range breaches {
		fmt.Println("broken:", breach)
	}
	switch {
	case len(breaches) > 0:
		return broken
	case err != nil:
		record.Add("could not run: %v", err)
		for _, controller := range cluster.Controllers {
			log, _ := os.ReadFile(controller.log.Name()) // without it, there is nothing to add
			record.Add("log of %s ends: %s", controller.Name, log[max(0, len(log)-1000):])
		}
		fmt.Println("could not run:", err)
		return failed
	}
	fmt.Println("held")
	return held
}
