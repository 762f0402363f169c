package main

import (
	"fmt"
	"time"
)

type lanePlan struct {
	name   string
	path   string
	method string
	rate   float64
	once   bool
	work   time.Duration
	expiry time.Duration
}

type servicePlan struct {
	name     string
	backends int
	slots    int
	most     int
}

type plan struct {
	name     string
	net      int
	cells    []string
	control  int
	data     int
	services []servicePlan
	lanes    []lanePlan
	desired  string
}

const expiry = 3 * time.Second

func kernevel() *plan {
	return &plan{
		name: "kernevel", net: 11, cells: []string{"brest", "rennes", "vannes"}, control: 3, data: 10,
		services: []servicePlan{{"transfer", 17, 6, 140}, {"beneficiary", 13, 6, 140}},
		lanes: []lanePlan{
			{"ar-mor-send", "/transfers", "POST", 32, true, 120 * time.Millisecond, expiry},
			{"ar-goat-send", "/transfers", "POST", 33, true, 120 * time.Millisecond, expiry},
			{"ar-mor-status", "/transfers/7", "GET", 65, false, 40 * time.Millisecond, expiry},
			{"ar-goat-status", "/transfers/8", "GET", 65, false, 40 * time.Millisecond, expiry},
			{"ar-mor-payee", "/beneficiaries/3", "GET", 48, false, 50 * time.Millisecond, expiry},
			{"ar-goat-payee", "/beneficiaries/4", "GET", 47, false, 50 * time.Millisecond, expiry},
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

func kiesplan() *plan {
	return &plan{
		name: "kiesplan", net: 12, cells: []string{"gent", "aalst", "ronse", "ninove"}, control: 4, data: 11,
		services: []servicePlan{{"appointment", 20, 2, 150}, {"export", 16, 2, 150}},
		lanes: []lanePlan{
			{"molar-look", "/chairs", "GET", 55, false, 50 * time.Millisecond, expiry},
			{"canine-look", "/chairs", "GET", 55, false, 50 * time.Millisecond, expiry},
			{"molar-book", "/appointments", "POST", 25, true, 70 * time.Millisecond, expiry},
			{"canine-book", "/appointments", "POST", 25, true, 70 * time.Millisecond, expiry},
			{"molar-export", "/schedules", "GET", 25, false, 150 * time.Millisecond, expiry},
			{"canine-export", "/schedules", "GET", 25, false, 150 * time.Millisecond, expiry},
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

func (p *plan) cell(i int) string { return p.cells[i%len(p.cells)] }

func (p *plan) controlAddr(i, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", p.net, i+1, port)
}

func (p *plan) dataAddr(i, port int) string { return fmt.Sprintf("127.%d.2.%d:%d", p.net, i+1, port) }

func (p *plan) backendAddr(s, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:6000", p.net, 10+s, i+1)
}
