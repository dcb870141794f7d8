package harness2

// SmallKiosk returns a small deployment like that of the kiosk operator: three controllers, the state service with
// the limits of its brief, and two types of machines. Leases and reports are those of its brief.
func SmallKiosk() *Setup {
	zones := []string{"leith", "govan", "dundee"}
	return &Setup{
		Names:           []string{"cairn-0", "cairn-1", "cairn-2"},
		Zones:           zones,
		ControllerZones: zones,
		Types: []MachineType{
			{Label: "bothy", Cores: 4, RAM: 32, Local: 40, PullRate: 0.5, Price: 0.21, MarketPrice: 0.08, BootS: 50, Zones: zones},
			{Label: "croft", Cores: 8, RAM: 32, Local: 60, PullRate: 0.2, Price: 0.36, MarketPrice: 0.12, BootS: 30, Zones: zones},
		},
		Teams:  []Team{{Name: "kioskops-00", CPUs: 16, CPUsMax: 48}, {Name: "kioskops-01", CPUs: 16, CPUsMax: 48}},
		Timing: Timing{Report: 3, Lease: 45, GangWait: 35, GangPeer: 6, Cancel: 65},
		RPS:    200, WriteRPS: 50, ValueKB: 8, TxnOps: 12, Cores: 0.48, RAMMB: 234,
	}
}

// SmallFare returns a small deployment like that of the fare operator.
func SmallFare() *Setup {
	zones := []string{"katutura", "olympia"}
	return &Setup{
		Names:           []string{"cairn-0", "cairn-1", "cairn-2"},
		Zones:           zones,
		ControllerZones: []string{"katutura", "katutura", "katutura"},
		Types: []MachineType{
			{Label: "kudu", Cores: 4, RAM: 16, Local: 35, PullRate: 0.25, Price: 0.22, MarketPrice: 0.09, BootS: 50, Zones: zones},
			{Label: "oryx", Cores: 24, Accelerators: 4, RAM: 96, Local: 150, PullRate: 0.25, Price: 10.25, MarketPrice: 3.96, BootS: 45, Zones: zones},
		},
		Teams:  []Team{{Name: "revenuedesk-00", GPUs: 8, GPUsMax: 35}, {Name: "revenuedesk-01", GPUs: 8, GPUsMax: 35}},
		Timing: Timing{Report: 3, Lease: 26, GangWait: 35, GangPeer: 5, Cancel: 46},
		RPS:    250, WriteRPS: 80, ValueKB: 32, TxnOps: 48, Cores: 0.36, RAMMB: 342,
	}
}
