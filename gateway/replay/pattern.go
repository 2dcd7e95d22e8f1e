package replay

import "time"

// EightServers returns eight servers in three zones whose speeds differ by a factor of two.
func EightServers() []Server {
	var servers []Server
	zones := Zones()
	for i := range 8 {
		work := 60 * time.Millisecond
		if i%2 == 1 {
			work = 120 * time.Millisecond
		}
		servers = append(servers, Server{Zone: zones[i%3], Slots: 4, Queue: 16, Work: work})
	}
	return servers
}

// Steady returns a constant rate.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Burst returns a rate that is high between two times.
func Burst(rate, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > from && at < to {
			return high
		}
		return rate
	}
}
