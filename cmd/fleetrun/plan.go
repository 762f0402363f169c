package main

import (
	"fmt"
	"time"
)

// laneSpec describes a lane and the requests that are sent to it.
type laneSpec struct {
	name              string
	path              string
	method            string
	requestsPerSecond float64
	atMostOnce        bool
	serviceTime       time.Duration // mean time that a backend works on a request
	expiry            time.Duration
}

// serviceSpec describes a service and its backends.
type serviceSpec struct {
	name           string
	backends       int
	slots          int
	maxConnections int // connections that one backend accepts
}

// deployment describes a fleet: its cells, processes, services, lanes and desired state.
type deployment struct {
	name         string
	subnet       int // second byte of the loopback addresses, 127.subnet.x.y
	cells        []string
	controlCount int
	dataCount    int
	services     []serviceSpec
	lanes        []laneSpec
	desired      string
}

// requestExpiry is the deadline that clients give each request, counted from its start.
const requestExpiry = 3 * time.Second

// kernevel is a deployment of three cells; each backend executes six requests at once.
func kernevel() *deployment {
	return &deployment{
		name: "kernevel", subnet: 11, cells: []string{"brest", "rennes", "vannes"}, controlCount: 3, dataCount: 10,
		services: []serviceSpec{{"transfer", 17, 6, 140}, {"beneficiary", 13, 6, 140}},
		lanes: []laneSpec{
			{"ar-mor-send", "/transfers", "POST", 32, true, 120 * time.Millisecond, requestExpiry},
			{"ar-goat-send", "/transfers", "POST", 33, true, 120 * time.Millisecond, requestExpiry},
			{"ar-mor-status", "/transfers/7", "GET", 65, false, 40 * time.Millisecond, requestExpiry},
			{"ar-goat-status", "/transfers/8", "GET", 65, false, 40 * time.Millisecond, requestExpiry},
			{"ar-mor-payee", "/beneficiaries/3", "GET", 48, false, 50 * time.Millisecond, requestExpiry},
			{"ar-goat-payee", "/beneficiaries/4", "GET", 47, false, 50 * time.Millisecond, requestExpiry},
		},
		desired: `{
 "fleet": {"nodes": 10, "surge": 1, "retiring": 1},
 "services": {
  "transfer": {"maxConnections": 140, "reserve": 8, "furtherShots": 24},
  "beneficiary": {"maxConnections": 140, "reserve": 8, "furtherShots": 24}
 },
 "tenants": {"ar-mor": {}, "ar-goat": {}},
 "lanes": {
  "ar-mor-send": {"tenant": "ar-mor", "service": "transfer", "slots": 2, "once": true},
  "ar-goat-send": {"tenant": "ar-goat", "service": "transfer", "slots": 2, "once": true},
  "ar-mor-status": {"tenant": "ar-mor", "service": "transfer", "slots": 3},
  "ar-goat-status": {"tenant": "ar-goat", "service": "transfer", "slots": 3},
  "ar-mor-payee": {"tenant": "ar-mor", "service": "beneficiary", "slots": 5},
  "ar-goat-payee": {"tenant": "ar-goat", "service": "beneficiary", "slots": 5}
 }
}`,
	}
}

// kiesplan is a deployment of four cells; each backend executes two requests at once.
func kiesplan() *deployment {
	return &deployment{
		name: "kiesplan", subnet: 12, cells: []string{"gent", "aalst", "ronse", "ninove"}, controlCount: 4, dataCount: 11,
		services: []serviceSpec{{"appointment", 20, 2, 150}, {"export", 16, 2, 150}},
		lanes: []laneSpec{
			{"molar-look", "/chairs", "GET", 55, false, 50 * time.Millisecond, requestExpiry},
			{"canine-look", "/chairs", "GET", 55, false, 50 * time.Millisecond, requestExpiry},
			{"molar-book", "/appointments", "POST", 25, true, 70 * time.Millisecond, requestExpiry},
			{"canine-book", "/appointments", "POST", 25, true, 70 * time.Millisecond, requestExpiry},
			{"molar-export", "/schedules", "GET", 25, false, 150 * time.Millisecond, requestExpiry},
			{"canine-export", "/schedules", "GET", 25, false, 150 * time.Millisecond, requestExpiry},
		},
		desired: `{
 "fleet": {"nodes": 11, "surge": 1, "retiring": 1},
 "services": {
  "appointment": {"maxConnections": 150, "reserve": 8, "furtherShots": 26},
  "export": {"maxConnections": 150, "reserve": 8, "furtherShots": 26}
 },
 "tenants": {"molar": {}, "canine": {}},
 "lanes": {
  "molar-look": {"tenant": "molar", "service": "appointment", "slots": 2},
  "canine-look": {"tenant": "canine", "service": "appointment", "slots": 2},
  "molar-book": {"tenant": "molar", "service": "appointment", "slots": 2, "once": true},
  "canine-book": {"tenant": "canine", "service": "appointment", "slots": 2, "once": true},
  "molar-export": {"tenant": "molar", "service": "export", "slots": 4, "waiters": 4},
  "canine-export": {"tenant": "canine", "service": "export", "slots": 4, "waiters": 4}
 }
}`,
	}
}

// cellOf spreads processes and backends evenly over the cells.
func (p *deployment) cellOf(i int) string { return p.cells[i%len(p.cells)] }

func (p *deployment) controlAddr(i, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", p.subnet, i+1, port)
}

func (p *deployment) dataAddr(i, port int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", p.subnet, i+1, port)
}

func (p *deployment) backendAddr(serviceIndex, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:6000", p.subnet, 10+serviceIndex, i+1)
}
