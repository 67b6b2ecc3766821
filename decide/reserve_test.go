package decide

import (
	"testing"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Guards against: a job waits forever with "no free place fits now" on an instance
// with two idle services and two slots. It comes about when one slot is reserved
// for each service.
func TestUrgentReserveLeavesHalfToBatch(t *testing.T) {
	idle := func(slots, services int) *Instance {
		in := &Instance{Total: structs.Resources{Slots: slots}}
		for range services {
			in.Services = append(in.Services, wire.ServiceLoad{Slots: slots})
		}
		return in
	}
	for _, c := range []struct{ slots, services, want int }{{1, 1, 0}, {2, 2, 1}, {8, 2, 2}, {8, 6, 4}} {
		if got := urgentReserve(idle(c.slots, c.services)); got != c.want {
			t.Errorf("%d slots, %d services: %d kept, want %d", c.slots, c.services, got, c.want)
		}
	}
}
