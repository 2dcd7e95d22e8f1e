package replay

import "time"

// Times of the scenarios with a mixed load.
const (
	surgeFrom   = 6 * time.Second
	surgeLength = 6 * time.Second
)

// mixedLoad has 81 nodes and one service of 130 servers with two slots, which gets short, more urgent requests and long,
// less urgent ones. The rate of the less urgent ones is multiplied for surgeLength. Callers that arrive in this time are
// counted.
func mixedLoad(factor float64) Load {
	l := Load{Nodes: 81, Length: surgeFrom + surgeLength + 2*time.Second, CallerTimeout: 6 * time.Second, Callers: Callers{Retries: 2}}
	for i := range 130 {
		l.Servers = append(l.Servers, Server{Zone: Zones()[i%3], Slots: 2, Queue: 8})
	}
	l.Guidance, l.Checks, l.CountFrom, l.CountTo = AdmissionsSent, true, surgeFrom, surgeFrom+surgeLength
	l.Routes = []Route{
		{Name: "urgent", Rate: Steady(211), Work: 88 * time.Millisecond, Target: 800 * time.Millisecond},
		{Name: "patient", Priority: 2, Rate: Burst(246, 246*factor, surgeFrom, surgeFrom+surgeLength), Work: 440 * time.Millisecond, Target: 3 * time.Second, Timeout: 10 * time.Second},
	}
	return l
}

func mixedPolicies() []Policy { return []Policy{Pooled, NoUrgency, NoAdmission} }

func mixedSurge() Scenario {
	return Scenario{Name: "mixed-surge", Description: "the less urgent requests of a mixed service rise by 2.4 for 6 s", Policies: mixedPolicies(), Load: mixedLoad(2.4)}
}

// mixedSurgeUnchecked has servers that do not report the pace of their machine, so that nodes choose by old reports alone.
func mixedSurgeUnchecked() Scenario {
	l := mixedLoad(2.4)
	l.Checks = false
	return Scenario{Name: "mixed-surge-unchecked", Description: "the same without load checks", Policies: mixedPolicies(), Load: l}
}

// mixedSurgeUneven has the speeds of the site that the surge comes from.
func mixedSurgeUneven() Scenario {
	l := mixedLoad(2.4)
	for i := range l.Servers {
		l.Servers[i].Relative = []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}[i/3%3]
	}
	l.SlowShare = 0.2
	return Scenario{Name: "mixed-surge-uneven", Description: "the surge at servers of speeds 0.7, 0.7 and 1.6 on machines that take three times as long a fifth of the time", Policies: mixedPolicies(), Load: l}
}

// mixedZoneLost loses one of three zones while the less urgent demand is half again as high as usual.
func mixedZoneLost() Scenario {
	l := mixedLoad(1.5)
	l.LostZone, l.LostAt = Zones()[2], surgeFrom
	l.Resends = resends()
	return Scenario{Name: "mixed-zone-lost", Description: "a zone of a mixed service is cut off while the less urgent requests rise by half for 6 s", Policies: mixedPolicies(), Load: l}
}
