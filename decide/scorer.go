package decide

import (
	"persimmonrock.example/structs"
)

// Weights of a placement's score; lower is better.
const (
	harmWeight = 1.0
	// strainWeight increases the weight of harm where a service is already
	// disturbed: the slowest answers come from the most disturbed instances.
	strainWeight = 1.0
	// fitWeight prefers the fuller of two instances with equal harm, so that the
	// other instance keeps free capacity for large jobs.
	fitWeight = 0.05
	// idleWeight is the part of a service's harm that counts even while no
	// call runs, since calls may arrive.
	idleWeight = 0.25
	// A task is not placed where a service's inflation would exceed
	// maxOwnInflation. For a task beyond its customer's share the limit is
	// maxBorrowedInflation, so that a flood of jobs does not slow down others.
	maxOwnInflation      = 2.3
	maxBorrowedInflation = 1.3
	// negligibleHarm is the harm up to which these limits exclude no task.
	negligibleHarm = 0.025
)

// serviceEntry is one service on one instance within a round. service indexes
// scorer.services.
type serviceEntry struct {
	service   int32
	band      LoadBand
	weight    float64
	inflation float64
	// idle is set if no call runs and the last call ended so long ago that the
	// service has no measured time. An idle service excludes no task, since no call
	// is disturbed.
	idle bool
}

// unknownHarm marks a cell of scorer.harmTable that is not computed yet.
const unknownHarm = -1

// maxNames bounds the kinds and the services kept between rounds.
const maxNames = 4096

// scorer rates instances for one kind of task. Services and kinds are numbered, and
// predictions are cached in a table, so that rating an instance reads no map. The
// present inflation of an instance's services is computed once a round, at first use.
type scorer struct {
	model         *Interference
	round         uint64
	preparedRound []uint64
	firstEntry    []int32
	entries       []serviceEntry
	kinds         map[structs.Kind]int32
	kindNames     []structs.Kind
	services      map[structs.Service]int32
	serviceNames  []structs.Service
	// harmTable is indexed by service, band and kind.
	harmTable []float64
	stride    int
}

func (s *scorer) reset(v *BatchView, m *Interference) {
	s.model = m
	s.round++
	s.entries = s.entries[:0]
	for len(s.preparedRound) < len(v.Instances) {
		s.preparedRound = append(s.preparedRound, 0)
		s.firstEntry = append(s.firstEntry, 0)
	}
	if s.kinds == nil || len(s.kindNames) > maxNames || len(s.serviceNames) > maxNames {
		s.kinds = make(map[structs.Kind]int32)
		s.services = make(map[structs.Service]int32)
		s.kindNames, s.serviceNames = nil, nil
	}
	s.stride = len(s.kindNames)
	s.clearHarmTable()
}

func (s *scorer) clearHarmTable() {
	for i := range s.harmTable {
		s.harmTable[i] = unknownHarm
	}
}

func (s *scorer) kind(k structs.Kind) int32 {
	i, ok := s.kinds[k]
	if !ok {
		i = int32(len(s.kindNames))
		s.kindNames = append(s.kindNames, k)
		s.kinds[k] = i
	}
	return i
}

func (s *scorer) service(name structs.Service) int32 {
	i, ok := s.services[name]
	if !ok {
		i = int32(len(s.serviceNames))
		s.serviceNames = append(s.serviceNames, name)
		s.services[name] = i
	}
	return i
}

// harm returns the predicted inflation of a service by one task, minus 1.
func (s *scorer) harm(service int32, b LoadBand, kind int32) float64 {
	if int(kind) >= s.stride {
		s.stride = max(2*s.stride, len(s.kindNames))
		s.clearHarmTable()
	}
	at := (int(service)*int(bandCount)+int(b))*s.stride + int(kind)
	for at >= len(s.harmTable) {
		s.harmTable = append(s.harmTable, unknownHarm)
	}
	if s.harmTable[at] == unknownHarm {
		s.harmTable[at] = s.model.Predict(s.serviceNames[service], s.kindNames[kind], b) - 1
	}
	return s.harmTable[at]
}

// servicesOf returns the instance's services with their present inflation.
func (s *scorer) servicesOf(v *BatchView, i int) []serviceEntry {
	in := &v.Instances[i]
	if s.preparedRound[i] != s.round {
		s.preparedRound[i] = s.round
		s.firstEntry[i] = int32(len(s.entries))
		s.prepare(in)
	}
	firstEntry := int(s.firstEntry[i])
	return s.entries[firstEntry : firstEntry+len(in.Services)]
}

func (s *scorer) prepare(in *Instance) {
	first := len(s.entries)
	for j := range in.Services {
		l := &in.Services[j]
		e := serviceEntry{service: s.service(l.Service), band: BandOf(l.InUse, l.Slots), inflation: 1}
		e.weight = idleWeight + fraction(l.InUse, l.Slots)
		e.idle = l.InUse == 0 && l.ServiceTime == 0
		s.entries = append(s.entries, e)
	}
	for b := range in.Batch {
		n := in.Batch[b].Running
		if n <= 0 {
			continue
		}
		kind := s.kind(in.Batch[b].Kind)
		for j := first; j < len(s.entries); j++ {
			e := &s.entries[j]
			e.inflation += float64(n) * s.harm(e.service, e.band, kind)
		}
	}
}

// score rates instance i for one more task of kind k: the harm added to each
// service, weighted by the service's load and present inflation, plus a small
// penalty for capacity left unused.
//
// It returns false if the task's harm to a service that isn't idle is above
// negligibleHarm and would raise the service's inflation above maxDisturbed.
func (s *scorer) score(v *BatchView, i int, k int32, need, free structs.Resources, maxDisturbed float64) (float64, bool) {
	sum := 0.0
	if s.model != nil {
		es := s.servicesOf(v, i)
		for j := range es {
			e := &es[j]
			h := s.harm(e.service, e.band, k)
			if e.inflation+h > maxDisturbed && h > negligibleHarm && !e.idle {
				return 0, false
			}
			after := e.inflation + h - 1
			sum += e.weight * h * (harmWeight + strainWeight*after)
		}
	}
	unused := 1 - dominantShare(need, free)
	return sum + fitWeight*unused, true
}

// add records that a task of kind k was placed on instance i in this round.
func (s *scorer) add(v *BatchView, i int, k structs.Kind) {
	if s.model == nil {
		return
	}
	kind := s.kind(k)
	es := s.servicesOf(v, i)
	for j := range es {
		es[j].inflation += s.harm(es[j].service, es[j].band, kind)
	}
}
