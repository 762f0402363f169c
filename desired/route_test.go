package desired

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
)

const routedDoc = `{
 "edition": 7,
 "limits": {"headBytes": 8192, "bodyBytes": 1000, "headMs": 2000, "idleMs": 30000},
 "fleet": {"open": true},
 "services": {"pay": {"maxConnections": 60, "reserve": 8, "named": true, "line": 9, "furtherShare": 50}, "look": {"maxConnections": 40}},
 "tenants": {"mor": {}},
 "lanes": {
  "pay-a": {"tenant": "mor", "service": "pay", "slots": 5, "once": true, "waitMs": 100, "connectMs": 80},
  "pay-b": {"tenant": "mor", "service": "pay", "slots": 5, "waitMs": 0, "connectMs": 150},
  "look": {"tenant": "mor", "service": "look", "slots": 6, "repeatable": true, "bodyBytes": 10}},
 "routes": {
  "Pay.v1_x-2": {"host": "api.example", "prefix": "/pay/", "aimMs": 200, "rank": 3, "wholeMs": 900, "shots": 5, "lanes": {"pay-a": 3, "pay-b": 1, "look": 0}},
  "all": {"host": "api.example", "prefix": "/", "repeatable": true, "wholeMs": 500, "shots": 1, "lanes": {"look": 1}},
  "deep": {"host": "api.example", "prefix": "/pay/slow/", "wholeMs": 500, "shots": 1, "lanes": {"look": 1}}}
}`

func TestRoutedStateReads(t *testing.T) {
	s, faults := Read([]byte(routedDoc))
	require.Empty(t, faults)
	require.Equal(t, uint64(7), s.Edition)
	require.Equal(t, &Limits{8192, 1000, 2 * time.Second, 30 * time.Second}, s.Limits)
	require.Equal(t, 5, s.Seats())
	pay := s.Services["pay"]
	require.True(t, pay.Named)
	require.Zero(t, pay.Probe.Slots)
	require.Equal(t, []int{9, 50, 200}, []int{pay.OverflowFactor, pay.RetryPerMille, s.Services["look"].RetryPerMille})
	require.True(t, s.Lanes["look"].Repeatable)

	route := s.Routes["Pay.v1_x-2"]
	require.Equal(t, Route{Name: "Pay.v1_x-2", Host: "api.example", Prefix: "/pay/", TargetLatency: 200 * time.Millisecond, Priority: 3, RequestTimeout: 900 * time.Millisecond, MaxAttempts: 5, Targets: route.Targets, TotalWeight: 4}, *route)
	require.Len(t, route.Targets, 3)
	first := *s.Lanes["pay-a"]
	first.Route, first.TargetLatency, first.Priority, first.AtMostOnce = route.Name, route.TargetLatency, 3, false
	first.ResponseTimeout, first.RequestTimeout, first.MaxAttempts, first.MaxRequestBody = route.RequestTimeout, route.RequestTimeout, 5, 1000
	first.MaxWait, first.ConnectTimeout = 40*time.Millisecond, 40*time.Millisecond
	require.Equal(t, &first, route.Targets[1].Lane)
	require.True(t, s.Lanes["pay-a"].AtMostOnce)
	second := route.Targets[2].Lane
	require.Equal(t, []time.Duration{0, 40 * time.Millisecond}, []time.Duration{second.MaxWait, second.ConnectTimeout})
	look := s.Routes["all"].Targets[0].Lane
	require.True(t, look.Repeatable)
	require.False(t, route.Targets[0].Lane.Repeatable)
	require.Equal(t, []time.Duration{180 * time.Millisecond, 150 * time.Millisecond}, []time.Duration{look.MaxWait, look.ConnectTimeout})
	require.Equal(t, int64(10), look.MaxRequestBody)
}

func TestAShortAimLeavesOneMillisecond(t *testing.T) {
	s, faults := Read([]byte(strings.Replace(routedDoc, `"aimMs": 200`, `"aimMs": 30`, 1)))
	require.Empty(t, faults)
	for _, target := range s.Routes["Pay.v1_x-2"].Targets {
		require.Equal(t, time.Millisecond, target.Lane.ConnectTimeout)
	}
}

func TestFindTakesTheLongestPrefix(t *testing.T) {
	s, faults := Read([]byte(routedDoc))
	require.Empty(t, faults)
	for _, test := range [][3]string{
		{"api.example", "/", "all"}, {"api.example", "/pay", "all"}, {"api.example", "/pay/", "Pay.v1_x-2"}, {"api.example", "/pay/slow", "Pay.v1_x-2"},
		{"api.example", "/pay/slow/", "deep"}, {"api.example", "/pay/slow/x/y", "deep"}, {"api.example", "/payslow/", "all"}, {"api.example", "/PAY/", "all"},
		{"api.example", "", ""}, {"api.example", "pay/", ""}, {"other", "/", ""}, {"", "/", ""}, {"API.example", "/", ""},
	} {
		got := ""
		if route := s.FindRoute(test[0], test[1]); route != nil {
			got = route.Name
		}
		require.Equal(t, test[2], got, test)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	s, faults := Read([]byte(routedDoc))
	require.Empty(t, faults)
	route := s.Routes["Pay.v1_x-2"]
	for _, step := range []uint64{1, 2, 3, 1 << 40, 0xbf58476d1ce4e5b9} {
		picks := map[ident.Lane]int{}
		for i := uint64(0); i < 10000; i++ {
			picks[route.PickLane(i*step).Name]++
		}
		require.Zero(t, picks["look"])
		require.InDelta(t, 7500, picks["pay-a"], 100, step)
		require.InDelta(t, 2500, picks["pay-b"], 100, step)
	}
	for _, n := range []uint64{0, 1, 1 << 63, ^uint64(0)} {
		require.NotNil(t, route.PickLane(n))
		require.Same(t, route.PickLane(n), route.PickLane(n))
	}
	few := map[ident.Lane]int{}
	for i := uint64(0); i < 40; i++ {
		few[route.PickLane(i).Name]++
	}
	require.InDelta(t, 30, few["pay-a"], 2)
}

func TestEachFaultOfTheNewFieldsIsNamed(t *testing.T) {
	const pay = "/routes/Pay.v1_x-2"
	long := strings.Repeat("a", 254)
	for _, test := range [][3]string{
		{`"edition": 7`, `"edition": 0`, "/edition"}, {`"edition": 7`, `"edition": 9007199254740992`, "/edition"}, {`"edition": 7`, `"edition": 1.5`, "/edition"},
		{`"edition": 7`, `"edition": "7"`, "/edition"}, {`"edition": 7`, `"edition": null`, "/edition"},
		{`"headBytes": 8192`, `"headBytes": 0`, "/limits/headBytes"}, {`"bodyBytes": 1000`, `"bodyBytes": -1`, "/limits/bodyBytes"}, {`"headMs": 2000`, `"headMs": 3600001`, "/limits/headMs"},
		{`"idleMs": 30000`, `"idleMs": "x"`, "/limits/idleMs"}, {`"idleMs"`, `"restMs"`, "/limits/restMs"}, {`"limits": {`, `"limits": [], "x": {`, "/limits /x"},
		{`"open": true`, `"open": true, "nodes": 3`, "/fleet/nodes"}, {`"open": true`, `"open": true, "surge": 0`, "/fleet/surge"}, {`"open": true`, `"open": true, "retiring": 1`, "/fleet/retiring"},
		{`"open": true`, `"open": 1`, "/fleet/open /fleet/nodes"}, {`"open": true`, `"open": false`, "/fleet/nodes"}, {`{"open": true}`, `{}`, "/fleet/nodes"},
		{`"named": true`, `"named": "yes"`, "/services/pay/named"}, {`"named": true`, `"named": true, "probe": {"slots": 1}`, "/services/pay/probe/slots"},
		{`"line": 9`, `"line": 4097`, "/services/pay/line"}, {`"line": 9`, `"line": -1`, "/services/pay/line"},
		{`"furtherShare": 50`, `"furtherShare": 1001`, "/services/pay/furtherShare"}, {`"furtherShare": 50`, `"furtherShare": 0.2`, "/services/pay/furtherShare"},
		{`"maxConnections": 60`, `"maxConnections": 17`, "/services/pay/maxConnections"}, {`"maxConnections": 60`, `"maxConnections": 7`, "/services/pay/maxConnections"},
		{`"repeatable": true, "bodyBytes"`, `"repeatable": true, "once": true, "bodyBytes"`, "/lanes/look/repeatable"}, {`"repeatable": true, "bodyBytes"`, `"repeatable": 1, "bodyBytes"`, "/lanes/look/repeatable"},
		{`"host": "api.example", "prefix": "/pay/"`, `"prefix": "/pay/"`, pay + "/host"}, {`"api.example", "prefix": "/pay/"`, `"API.example", "prefix": "/pay/"`, pay + "/host"},
		{`"api.example", "prefix": "/pay/"`, `"api:80", "prefix": "/pay/"`, pay + "/host"}, {`"api.example", "prefix": "/pay/"`, `"` + long + `", "prefix": "/pay/"`, pay + "/host"}, {`"api.example", "prefix": "/pay/"`, `"", "prefix": "/pay/"`, pay + "/host"},
		{`"/pay/"`, `"/pay"`, pay + "/prefix"}, {`"/pay/"`, `"pay/"`, pay + "/prefix"}, {`"/pay/"`, `"/p y/"`, pay + "/prefix"}, {`"/pay/"`, `"/p\u0007/"`, pay + "/prefix"}, {`"/pay/"`, `"/p\u00a0/"`, pay + "/prefix"}, {`"prefix": "/pay/",`, ``, pay + "/prefix"},
		{`"aimMs": 200`, `"aimMs": 0`, pay + "/aimMs"}, {`"aimMs": 200`, `"aimMs": 3600001`, pay + "/aimMs"}, {`"rank": 3`, `"rank": 1001`, pay + "/rank"}, {`"rank": 3`, `"rank": -1`, pay + "/rank"},
		{`"wholeMs": 900,`, ``, pay + "/wholeMs"}, {`"wholeMs": 900`, `"wholeMs": 0`, pay + "/wholeMs"}, {`"shots": 5,`, ``, pay + "/shots"}, {`"shots": 5`, `"shots": 17`, pay + "/shots"}, {`"shots": 5`, `"shots": 0`, pay + "/shots"},
		{`"wholeMs": 900`, `"wholeMs": 900, "repeatable": null`, pay + "/repeatable"}, {`"wholeMs": 900`, `"wholeMs": 900, "spare": 1`, pay + "/spare"},
		{`"pay-a": 3`, `"nobody": 3`, pay + "/lanes/nobody"}, {`"pay-a": 3`, `"pay-a": 1000001`, pay + "/lanes/pay-a"}, {`"pay-a": 3`, `"pay-a": -1`, pay + "/lanes/pay-a"}, {`"pay-a": 3`, `"pay-a": true`, pay + "/lanes/pay-a"},
		{`{"pay-a": 3, "pay-b": 1, "look": 0}`, `{"look": 0}`, pay + "/lanes"}, {`{"pay-a": 3, "pay-b": 1, "look": 0}`, `{}`, pay + "/lanes"}, {`{"pay-a": 3, "pay-b": 1, "look": 0}`, `["pay-a"]`, pay + "/lanes"}, {`, "lanes": {"pay-a": 3, "pay-b": 1, "look": 0}`, ``, pay + "/lanes"},
		{`"all": {"host": "api.example", "prefix": "/",`, `"all": {"host": "api.example", "prefix": "/pay/",`, "/routes/all"},
		{`"Pay.v1_x-2": {`, `"Pay v1": {`, "/routes/Pay v1"}, {`"Pay.v1_x-2": {`, `"": {`, "/routes/"}, {`"Pay.v1_x-2": {`, `"` + strings.Repeat("r", 129) + `": {`, "/routes/" + strings.Repeat("r", 129)},
		{`"all": {`, `"all": 3, "more": {`, "/routes/all /routes/all/host /routes/all/prefix /routes/all/wholeMs /routes/all/shots /routes/all/lanes"}, {`"routes": {`, `"routes": [], "x": {`, "/routes /x"},
		{`"look": {"tenant": "mor"`, `"look": {"tenant": "nobody"`, "/lanes/look/tenant"},
	} {
		require.Equal(t, 1, strings.Count(routedDoc, test[0]), test[0])
		_, faults := Read([]byte(strings.Replace(routedDoc, test[0], test[1], 1)))
		var paths []string
		for _, fault := range faults {
			require.NotEmpty(t, fault.Text)
			paths = append(paths, fault.Path)
		}
		require.ElementsMatch(t, strings.Split(test[2], " /"), strings.Split(strings.Join(paths, " "), " /"), "%s -> %s: %v", test[0], test[1], faults)
	}
	_, faults := Read([]byte(strings.Replace(routedDoc, `"prefix": "/",`, `"prefix": "/pay/",`, 1)))
	require.Contains(t, faults[0].Text, "Pay.v1_x-2")
}

func TestOpenFleetSeatsAreWhatTheLeastCapAllows(t *testing.T) {
	doc := func(services, lanes string) string {
		return fmt.Sprintf(`{"fleet":{"open":true},"services":{%s},"tenants":{"t":{}},"lanes":{%s}}`, services, lanes)
	}
	for _, test := range []struct {
		services, lanes string
		seats           int
	}{
		{``, ``, MaxSeats},
		{`"a":{"maxConnections":9,"named":true}`, ``, MaxSeats},
		{`"a":{"maxConnections":9}`, ``, 9},
		{`"a":{"maxConnections":9,"reserve":2}`, `"l":{"tenant":"t","service":"a","slots":2}`, 2},
		{`"a":{"maxConnections":9,"reserve":2,"named":true}`, `"l":{"tenant":"t","service":"a","slots":2}`, 3},
		{`"a":{"maxConnections":90,"probe":{"slots":4}},"b":{"maxConnections":20}`, `"l":{"tenant":"t","service":"a","slots":2},"m":{"tenant":"t","service":"b","slots":1},"n":{"tenant":"t","service":"b","slots":3}`, 4},
		{`"a":{"maxConnections":5,"reserve":2}`, `"l":{"tenant":"t","service":"a","slots":2}`, 1},
	} {
		s, faults := Read([]byte(doc(test.services, test.lanes)))
		require.Empty(t, faults)
		require.Equal(t, test.seats, s.Seats(), test.services)
		for name, sum := range s.SlotsPerSeat() {
			service := s.Services[name]
			require.LessOrEqual(t, sum*s.Seats()+service.Reserve, service.MaxConnections)
		}
	}
	_, faults := Read([]byte(doc(`"a":{"maxConnections":4,"reserve":2}`, `"l":{"tenant":"t","service":"a","slots":2}`)))
	require.Len(t, faults, 1)
	require.Contains(t, faults[0].Text, "one seat of an open fleet needs 3 slots (probe 1 + l 2) + reserve 2 = 5")
}

func TestEditionsRise(t *testing.T) {
	for _, test := range [][3]uint64{{0, 0, 0}, {0, 5, 0}, {5, 6, 0}, {5, MaxEdition, 0}, {5, 5, 1}, {5, 4, 1}, {5, 0, 1}} {
		faults := (&State{Edition: test[1]}).CheckEdition(test[0])
		require.Len(t, faults, int(test[2]), test)
		for _, f := range faults {
			require.Equal(t, "/edition", f.Path)
		}
	}
	require.Equal(t, uint64(7), EditionOf([]byte(routedDoc)))
	for _, doc := range []string{"", "[]", "{}", `{"edition":"7"}`, `{"edition":-1}`, `{"edition":1e99}`} {
		require.Zero(t, EditionOf([]byte(doc)), doc)
	}
}

func TestAPatchReplacesARoutesLanesWhole(t *testing.T) {
	base, _ := ReadTree([]byte(routedDoc))
	patched := func(doc string) *State {
		patch, faults := ReadTree([]byte(doc))
		require.Empty(t, faults)
		s, faults := Validate(Merge(base, patch))
		require.Empty(t, faults)
		return s
	}
	lanes := func(route *Route) string {
		out := ""
		for _, t := range route.Targets {
			out += fmt.Sprintf("%s:%d ", t.Lane.Name, t.Weight)
		}
		return out
	}
	s := patched(`{"routes":{"Pay.v1_x-2":{"lanes":{"pay-b":2,"pay-a":null}}}}`)
	require.Equal(t, "pay-b:2 ", lanes(s.Routes["Pay.v1_x-2"]))
	require.Equal(t, 5, s.Routes["Pay.v1_x-2"].MaxAttempts)
	s = patched(`{"routes":{"Pay.v1_x-2":{"host":"h","prefix":"/p/","repeatable":true,"aimMs":900,"rank":4,"wholeMs":7,"shots":2,"lanes":{"look":8}}}}`)
	r := s.Routes["Pay.v1_x-2"]
	require.Equal(t, Route{Name: r.Name, Host: "h", Prefix: "/p/", Repeatable: true, TargetLatency: 900 * time.Millisecond, Priority: 4, RequestTimeout: 7 * time.Millisecond, MaxAttempts: 2, Targets: r.Targets, TotalWeight: 8}, *r)
	require.Equal(t, "look:8 ", lanes(r))
	require.Len(t, s.Routes, 3)
	s = patched(`{"routes":{"Pay.v1_x-2":null,"new":{"host":"h","prefix":"/","wholeMs":7,"shots":2,"lanes":{"look":8,"pay-a":null}}}}`)
	require.Equal(t, []string{"all", "deep", "new"}, s.RouteNames())
	require.Equal(t, "look:8 ", lanes(s.Routes["new"]))
	s = patched(`{"routes":null}`)
	require.Empty(t, s.Routes)
	s = patched(`{"lanes":{"look":{"slots":2}}}`)
	require.Equal(t, ident.Service("look"), s.Lanes["look"].Service)
	again, _ := ReadTree([]byte(routedDoc))
	require.Equal(t, again, base)
}

func FuzzRead(f *testing.F) {
	for _, doc := range []string{validDoc, routedDoc, `{"fleet":{"open":true}}`, `{"fleet":{"nodes":1},"services":{"s":{"maxConnections":1,"probe":{"path":"/\u2028<\ud800"}}}}`, "[]", "", `{"routes":{"a":{}}}`} {
		f.Add([]byte(doc))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		EditionOf(doc)
		tree, faults := ReadTree(doc)
		s, stateFaults := Read(doc)
		if len(faults) > 0 {
			require.NotEmpty(t, stateFaults)
			return
		}
		Merge(tree, tree)
		if len(stateFaults) > 0 {
			return
		}
		require.Equal(t, s.Edition, EditionOf(doc))
		encoded := Write(tree)
		if len(encoded) > MaxBytes {
			return
		}
		again, faults := Read(encoded)
		require.Empty(t, faults)
		require.Equal(t, s, again)
		require.Equal(t, encoded, Write(Merge(nil, tree)))
		for _, r := range s.Routes {
			require.Same(t, r, s.FindRoute(r.Host, r.Prefix))
			require.NotNil(t, r.PickLane(uint64(len(doc))))
		}
		require.GreaterOrEqual(t, s.Seats(), 1)
		for name, sum := range s.SlotsPerSeat() {
			if service := s.Services[name]; service != nil {
				require.LessOrEqual(t, sum*s.Seats()+service.Reserve, service.MaxConnections)
			}
		}
	})
}

// Guards against routed bodies that are refused although the fleet's limits allow them.
func TestALaneThatStatesTheLongestBodyLeavesItToTheLimits(t *testing.T) {
	limits := &Limits{BodyBytes: 64 << 20}
	require.Equal(t, int64(64<<20), routedBodyBytes(&Lane{MaxRequestBody: maxLaneBodyBytes}, limits))
	require.Equal(t, int64(10), routedBodyBytes(&Lane{MaxRequestBody: 10}, limits))
	require.Equal(t, int64(5), routedBodyBytes(&Lane{MaxRequestBody: maxLaneBodyBytes}, &Limits{BodyBytes: 5}))
}
