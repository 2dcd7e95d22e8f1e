package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Parameters of the generated load.
const (
	keysPerService = 200
	keySkew        = 1.1 // Zipf exponent; above 1
	writeShare     = 0.3
	maxBodyBytes   = 512
	maxFillerBytes = 8 << 10
)

// plannedRequest is one request of the sequence.
type plannedRequest struct {
	Number  int
	After   time.Duration // since the start of the load
	Zone    int           // index of the caller's zone
	Service topo.Service
	Keyed   bool
	Record  string // the key for a keyed service, otherwise the record's name
	Method  string
	Body    []byte // nil for none
	Size    int    // filler bytes requested in the answer
}

// name returns the caller's unique name for the request.
func (p plannedRequest) name() string { return fmt.Sprintf("request/%d", p.Number) }

// caller returns the name of the caller that sends the request.
func (p plannedRequest) caller() string { return fmt.Sprintf("caller-%d", p.Zone) }

// planRequests draws a seeded sequence of requests that arrive at random over a
// span. Equal arguments produce equal sequences.
func planRequests(count int, seed uint64, span time.Duration, zones int, site *siteconfig.Site) []plannedRequest {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	services := sortedServices(site)
	keys := rand.NewZipf(random, keySkew, 1, keysPerService-1)
	gap := span / time.Duration(max(count, 1))
	var after time.Duration
	plan := make([]plannedRequest, count)
	for i := range plan {
		after += time.Duration(random.ExpFloat64() * float64(gap))
		service := services[random.IntN(len(services))]
		request := plannedRequest{
			Number:  i + 1,
			After:   after,
			Zone:    random.IntN(zones),
			Service: service.Name,
			Method:  http.MethodGet,
			Size:    random.IntN(maxFillerBytes),
		}
		request.Record = keyName(service.Name, int(keys.Uint64()))
		request.Keyed = service.Keyed
		if random.Float64() < writeShare {
			request.Method = http.MethodPost
			request.Body = randomBody(random)
		}
		plan[i] = request
	}
	return plan
}

// keyName returns the index-th key of a service; index 0 is the hottest key.
func keyName(service topo.Service, index int) string {
	return fmt.Sprintf("%s-key-%d", service, index)
}

func randomBody(random *rand.Rand) []byte {
	body := make([]byte, 1+random.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte('a' + random.IntN('z'-'a'+1))
	}
	return body
}
