package quarantine_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
)

type step struct {
	AtMs      int64      `json:"at-ms"`
	Crash     string     `json:"crash"` // the server that crashed
	Start     int64      `json:"start"`
	Settled   *bool      `json:"settled"` // whether it is reported again, SettleTime later; default: yes
	Begun     [][]string `json:"begun"`   // causes of each request whose answer had begun
	Waiting   [][]string `json:"waiting"` // causes of each request that waited
	Clear     string     `json:"clear"`
	Trial     string     `json:"trial"`
	Granted   bool       `json:"granted"`
	Suspects  []string   `json:"suspects"`  // expected after the step
	Convicted []string   `json:"convicted"` // expected after the step
}

func fingerprint(name string) uint64 { return xxhash.Sum64String(name) }

func suspects(requests [][]string, begun bool) []*wire.CrashSuspect {
	var out []*wire.CrashSuspect
	for _, causes := range requests {
		s := &wire.CrashSuspect{Begun: begun}
		for _, name := range causes {
			s.Causes = append(s.Causes, &wire.Cause{Fingerprint: fingerprint(name), Label: name})
		}
		out = append(out, s)
	}
	return out
}

// TestLedger runs the sequences of crashes, answers and trials in testdata/ledger.json. A
// ledger that is restored after each step must say the same.
func TestLedger(t *testing.T) {
	data, err := os.ReadFile("testdata/ledger.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		What  string
		Steps []step
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		l := quarantine.New(quarantine.DefaultConfig())
		for i, s := range script.Steps {
			l.Expire(s.AtMs)
			switch {
			case s.Crash != "":
				l.Report(s.AtMs, &wire.CrashReport{Server: s.Crash, Start: s.Start, Suspects: slices.Concat(suspects(s.Begun, true), suspects(s.Waiting, false))})
				if s.Settled == nil || *s.Settled {
					l.Report(s.AtMs+quarantine.DefaultConfig().SettleTime.Milliseconds(), &wire.CrashReport{Server: s.Crash, Start: s.Start})
				}
			case s.Clear != "":
				l.Clear(fingerprint(s.Clear))
			default:
				if granted := l.ClaimTrial(s.AtMs, fingerprint(s.Trial), 0); granted != s.Granted {
					t.Errorf("%s: step %d: trial granted: %v, want %v", script.What, i, granted, s.Granted)
				}
			}
			var suspected, convicted []string
			for _, c := range l.Entries() {
				if c.GetConvicted() {
					convicted = append(convicted, c.GetLabel())
				} else {
					suspected = append(suspected, c.GetLabel())
				}
			}
			slices.Sort(suspected)
			slices.Sort(convicted)
			if !slices.Equal(suspected, s.Suspects) || !slices.Equal(convicted, s.Convicted) {
				t.Errorf("%s: step %d: got suspects %v and convicted %v, want %v and %v", script.What, i, suspected, convicted, s.Suspects, s.Convicted)
			}
			restored := quarantine.New(quarantine.DefaultConfig())
			restored.Restore(l.Crashes(), l.Entries(), l.Histories())
			l = restored
		}
	}
}

// BenchmarkReport adds a report of three requests to a ledger that holds as many crashes
// as it may, and tells the size of the report.
func BenchmarkReport(b *testing.B) {
	l := quarantine.New(quarantine.DefaultConfig())
	report := func(i int) *wire.CrashReport {
		r := &wire.CrashReport{Server: fmt.Sprint("i-", i), Start: int64(i)}
		for n := range 3 {
			name := fmt.Sprint(i, "/", n)
			r.Suspects = append(r.Suspects, suspects([][]string{{"request to h/" + name, "prompt part " + name, "prompt part f" + name}}, n == 0)...)
		}
		return r
	}
	at := int64(0)
	for i := range 300 {
		at += 10
		l.Report(at, report(i))
	}
	b.ResetTimer()
	for i := range b.N {
		if i%100 == 99 {
			at++
		}
		l.Report(at, report(1000+i))
	}
	b.ReportMetric(float64(proto.Size(report(0))), "bytes/report")
}

// TestCrashesWithoutPauseConvictNobody guards against a cause that stays a suspect for as
// long as backend servers go on crashing.
func TestCrashesWithoutPauseConvictNobody(t *testing.T) {
	config := quarantine.DefaultConfig()
	for _, pause := range []int64{20, 100, 149, 151, 250} {
		ledger := quarantine.New(config)
		settle := config.SettleTime.Milliseconds()
		convictedAt := int64(-1)
		for at := int64(0); at < 5000 && convictedAt < 0; at++ {
			var convicted []*wire.Conviction
			if at%pause == 0 {
				convicted = ledger.Report(at, &wire.CrashReport{
					Server: fmt.Sprint("s", at), Start: 1, Suspects: []*wire.CrashSuspect{{Begun: true, Causes: []*wire.Cause{{Fingerprint: 1}}}},
				})
			}
			if at >= settle && (at-settle)%pause == 0 && len(convicted) == 0 { // the reporter calls again
				convicted = ledger.Report(at, &wire.CrashReport{Server: fmt.Sprint("s", at-settle), Start: 1})
			}
			if len(convicted) > 0 {
				convictedAt = at
			}
		}
		most := int64(config.MinCrashes)*(config.Coincidence.Milliseconds()+pause) + settle
		if convictedAt < 0 || convictedAt > most {
			t.Errorf("a crash each %d ms: convicted after %d ms, want at most %d", pause, convictedAt, most)
		}
	}
}

// TestOneRequestCrashesServersTogether guards against a request that is in flight on
// several backend servers when they crash, and that is taken for the victim of an outage.
func TestOneRequestCrashesServersTogether(t *testing.T) {
	config := quarantine.DefaultConfig()
	settle := config.SettleTime.Milliseconds()
	for what, copies := range map[string]int{"once on each server": 1, "four times on each server": 4} {
		ledger := quarantine.New(config)
		var convicted []*wire.Conviction
		for i, at := range []int64{0, 158, 228} {
			report := &wire.CrashReport{Server: fmt.Sprint("s", i), Start: 1}
			for range copies {
				report.Suspects = append(report.Suspects, &wire.CrashSuspect{Causes: []*wire.Cause{{Fingerprint: fingerprint("bad"), Label: "bad", Exact: true}}})
			}
			report.Suspects = append(report.Suspects, suspects([][]string{{fmt.Sprint("sound", i)}}, false)...)
			convicted = append(convicted, ledger.Report(at, report)...)
		}
		convicted = append(convicted, ledger.Report(228+settle, &wire.CrashReport{Server: "s2", Start: 1})...)
		if len(convicted) != 1 || convicted[0].GetLabel() != "bad" {
			t.Errorf("%s: got convictions %v after the third crash, want one of the request that is in all three", what, convicted)
		}
	}
}

// TestVictimOfOutageStaysConvicted guards against a sound request that is refused for long
// because it was in flight on all backend servers of a pool when they crashed.
func TestVictimOfOutageStaysConvicted(t *testing.T) {
	config := quarantine.DefaultConfig()
	ledger := quarantine.New(config)
	request := &wire.Cause{Fingerprint: 1, Exact: true}
	crash := func(at int64, server string) []*wire.Conviction {
		ledger.Report(at, &wire.CrashReport{Server: server, Start: at, Suspects: []*wire.CrashSuspect{{Causes: []*wire.Cause{request}}}})
		return ledger.Report(at+config.SettleTime.Milliseconds(), &wire.CrashReport{Server: server, Start: at})
	}
	claim := func(at int64, want bool) {
		t.Helper()
		if granted := ledger.ClaimTrial(at, request.GetFingerprint(), 0); granted != want {
			t.Errorf("%d ms: trial granted: %t, want %t", at, granted, want)
		}
	}
	crash(0, "s1")
	crash(10, "s2")
	if convicted := crash(20, "s3"); len(convicted) != 1 {
		t.Fatalf("got convictions %v, want one", convicted)
	}
	claim(200, true)
	claim(300, false) // one at a time
	claim(2200, true) // the first one's outcome did not come
	crash(2300, "s1")
	claim(5000, false)
	claim(2300+config.TrialWait.Milliseconds(), true)
	if !ledger.Clear(request.GetFingerprint()) || len(ledger.Entries()) > 0 {
		t.Errorf("got entries %v after an answer, want none", ledger.Entries())
	}
}

// TestTrialFailsByAnothersCrash guards against a sound request that is refused for long because
// its trial was under way, or had just ended, at a backend server that the trial of another
// request crashed.
func TestTrialFailsByAnothersCrash(t *testing.T) {
	config := quarantine.DefaultConfig()
	sound, bad := &wire.Cause{Fingerprint: 1, Label: "sound", Exact: true}, &wire.Cause{Fingerprint: 2, Label: "bad", Exact: true}
	newLedger := func() (*quarantine.Ledger, func(at int64, causes ...*wire.Cause)) {
		ledger := quarantine.New(config)
		crash := func(at int64, causes ...*wire.Cause) {
			report := &wire.CrashReport{Server: fmt.Sprint("s", at), Start: at}
			for _, c := range causes {
				report.Suspects = append(report.Suspects, &wire.CrashSuspect{Causes: []*wire.Cause{c}})
			}
			for i := range 8 { // other requests, none twice
				report.Suspects = append(report.Suspects, suspects([][]string{{fmt.Sprint("other", at, i)}}, false)...)
			}
			ledger.Report(at, report)
			ledger.Report(at+config.SettleTime.Milliseconds(), &wire.CrashReport{Server: report.GetServer(), Start: at})
		}
		for at := int64(0); at < 1500; at += 500 {
			crash(at, sound, bad)
		}
		if !ledger.ClaimTrial(2000, 1, 0) || !ledger.ClaimTrial(2100, 2, 0) {
			t.Fatal("no trial is granted")
		}
		crash(2200, sound, bad)
		return ledger, crash
	}
	refusedFor := func(ledger *quarantine.Ledger, fingerprint uint64) int64 {
		for _, c := range ledger.Entries() {
			if c.GetFingerprint() == fingerprint && c.GetConvicted() {
				return c.GetTrialWaitMillis()
			}
		}
		return -1
	}

	ledger, crash := newLedger()
	if !ledger.ClaimTrial(2400, 1, 0) {
		t.Fatal("the sound request is not tried again at once")
	}
	if ledger.ClaimTrial(2450, 2, 0) {
		t.Error("the other one is tried beside it")
	}
	ledger.Clear(1) // its server outlived the run
	if !ledger.ClaimTrial(3500, 2, 0) {
		t.Error("the other one is not tried after it")
	}
	crash(3600, bad)
	if s, b := refusedFor(ledger, 1), refusedFor(ledger, 2); s >= 0 || b == 0 {
		t.Errorf("the sound request waits %d ms for a trial, the other one %d, want none, and longer than 0", s, b)
	}

	ledger, crash = newLedger()
	if !ledger.ClaimTrial(2400, 2, 0) {
		t.Fatal("the request that crashes servers is not tried again at once")
	}
	crash(2500, sound, bad)
	if s, b := refusedFor(ledger, 1), refusedFor(ledger, 2); s >= 0 || b == 0 {
		t.Errorf("the sound request waits %d ms for a trial, the other one %d, want none, and longer than 0", s, b)
	}
}

// TestSoundPartExplainsCrashesOfAnother guards against a sound part of prompts, which was in
// some of the crashes of another one, that is convicted and explains these crashes away.
func TestSoundPartExplainsCrashesOfAnother(t *testing.T) {
	config := quarantine.DefaultConfig()
	ledger := quarantine.New(config)
	var convicted []*wire.Conviction
	crash := func(at int64, requests ...*wire.CrashSuspect) {
		server := fmt.Sprint("s", at)
		convicted = append(convicted, ledger.Report(at, &wire.CrashReport{Server: server, Start: 1, Suspects: requests})...)
		convicted = append(convicted, ledger.Report(at+config.SettleTime.Milliseconds(), &wire.CrashReport{Server: server, Start: 1})...)
	}
	for _, at := range []int64{0, 600, 1200} {
		for i := range int64(2) { // a stream that crashes its server goes on at another and crashes it too
			at := at + i*config.SettleTime.Milliseconds()
			flowing := suspects([][]string{{fmt.Sprint("r", at), "bad"}}, false)
			flowing[0].Flowed = true
			if i == 0 {
				flowing = append(flowing, suspects([][]string{{fmt.Sprint("t", at), "sound"}}, true)...)
			}
			crash(at, flowing...)
		}
	}
	if len(convicted) != 1 || convicted[0].GetLabel() != "bad" {
		t.Errorf("got convictions %v, want one of the part that was in all crashes", convicted)
	}
}

// TestConvictionTakesCrashesFromTheirCause guards against a sound part of prompts that was in
// the same crashes as the one that causes them and is convicted first: it explains these
// crashes, further sound parts are convicted in turn, and the cause goes on.
func TestConvictionTakesCrashesFromTheirCause(t *testing.T) {
	config := quarantine.DefaultConfig()
	ledger := quarantine.New(config)
	at := int64(0)
	crash := func(others ...string) {
		server := fmt.Sprint("s", at)
		requests := suspects([][]string{{fmt.Sprint("r", at), "bad"}}, false)
		requests[0].Flowed = true
		for i, name := range others {
			requests = append(requests, suspects([][]string{{fmt.Sprint("t", at, i), name}}, true)...)
		}
		for _, suspects := range [][]*wire.CrashSuspect{requests, nil} {
			ledger.Report(at, &wire.CrashReport{Server: server, Start: 1, Suspects: suspects})
			at += config.SettleTime.Milliseconds()
			restored := quarantine.New(config)
			restored.Restore(ledger.Crashes(), ledger.Entries(), ledger.Histories())
			ledger = restored
		}
	}
	expect := func(when, want string) {
		t.Helper()
		var convicted []string
		for _, c := range ledger.Entries() {
			if c.GetConvicted() {
				convicted = append(convicted, c.GetLabel())
			}
		}
		if !slices.Equal(convicted, []string{want}) {
			t.Errorf("%s: got convictions %v, want one of %s", when, convicted, want)
		}
	}
	for range 3 {
		crash("sound")
		at += 300
	}
	expect("both parts in three outages", "sound")
	crash("other")
	at += 300
	expect("one more without the first, which may have another reason", "sound")
	crash("other")
	expect("two more without the first", "bad")
	crash("sound")
	at += 300
	expect("requests with the first part are in flight again", "bad")
}

// TestPartOfAllPromptsIsConvictedForOne guards against the conviction of a part that all
// prompts have, whose requests are all refused, for crashes that a narrower part was in too.
func TestPartOfAllPromptsIsConvictedForOne(t *testing.T) {
	config := quarantine.DefaultConfig()
	ledger := quarantine.New(config)
	var convicted []*wire.Conviction
	for outage := range int64(3) {
		for i := range int64(2) {
			at := 600*outage + i*config.SettleTime.Milliseconds()
			requests := suspects([][]string{{fmt.Sprint("r", at), "bad", "all"}}, false)
			for n := range 2 {
				requests = append(requests, suspects([][]string{{fmt.Sprint("t", at, n), fmt.Sprint("sound", at, n), "all"}}, false)...)
			}
			for _, r := range requests {
				r.Flowed = true
			}
			begun := suspects([][]string{{fmt.Sprint("u", at), fmt.Sprint("sound", at), "all"}}, true)
			for _, suspects := range [][]*wire.CrashSuspect{append(requests, begun...), nil} {
				convicted = append(convicted, ledger.Report(at, &wire.CrashReport{Server: fmt.Sprint("s", at), Start: 1, Suspects: suspects})...)
				at += config.SettleTime.Milliseconds()
			}
		}
	}
	if len(convicted) != 1 || convicted[0].GetLabel() != "bad" {
		t.Errorf("got convictions %v, want one of the narrower part", convicted)
	}
}

// TestLateReportsAreOneOutage guards against crashes at different times that count as one
// since they were reported together.
func TestLateReportsAreOneOutage(t *testing.T) {
	ledger := quarantine.New(quarantine.DefaultConfig())
	var reports []*wire.CrashReport
	for i, age := range []int64{5000, 9000, 1000} {
		reports = append(reports, &wire.CrashReport{
			Server: fmt.Sprint("s", i), Start: 1, AgeMillis: age,
			Suspects: suspects([][]string{{fmt.Sprint("r", i), "bad"}}, true),
		})
	}
	convicted := ledger.Report(20_000, reports...)
	if len(convicted) != 1 || convicted[0].GetLabel() != "bad" {
		t.Errorf("got convictions %v, want one of what is in all three crashes", convicted)
	}
}

// TestSlowRepeatsAreForgotten guards against a request that crashes each backend server
// that runs it and that comes back so slowly that its crashes, or its conviction, are
// forgotten meanwhile.
func TestSlowRepeatsAreForgotten(t *testing.T) {
	const (
		played      = int64(3 * 60 * 60 * 1000)
		contactTime = 3000 // milliseconds
		mostLate    = 3
	)
	config := quarantine.DefaultConfig()
	cause := &wire.Cause{Fingerprint: 1, Label: "bad", Exact: true}
	for _, interval := range []int64{300, 1000, 2000, 9000, 25_000, 40_000, 61_000, 100_000, 300_000, 700_000} {
		ledger := quarantine.New(config)
		var crashes []int64
		late := 0
		for at := int64(0); at < played; at += interval {
			ledger.Expire(at)
			convicted := slices.ContainsFunc(ledger.Entries(), func(c *wire.Conviction) bool { return c.GetConvicted() })
			if convicted && !ledger.ClaimTrial(at, cause.GetFingerprint(), 0) {
				continue
			}
			if len(crashes) >= crashesThatCount && at > crashes[crashesThatCount-1]+contactTime {
				late++
			}
			server := fmt.Sprint("s", len(crashes))
			ledger.Report(at+10, &wire.CrashReport{Server: server, Start: 1, Suspects: []*wire.CrashSuspect{{Begun: true, Causes: []*wire.Cause{cause}}}})
			ledger.Report(at+10+config.SettleTime.Milliseconds(), &wire.CrashReport{Server: server, Start: 1})
			crashes = append(crashes, at+10)
		}
		if late > mostLate {
			t.Errorf("sent each %d ms: %d times later than %d ms after crash %d of %d, want at most %d", interval, late, contactTime, crashesThatCount, len(crashes), mostLate)
		}
	}
}

// crashesThatCount is the number of crashes after which the users' rule counts a request
// that comes again.
const crashesThatCount = 3

// BenchmarkZoneLoss reports the crashes of a hundred backend servers, by 105 gateways that
// each have two requests at every one, and tells what the state comes to.
func BenchmarkZoneLoss(b *testing.B) {
	const gateways, servers, requests = 105, 100, 2
	report := func(gateway int) []*wire.CrashReport {
		var out []*wire.CrashReport
		for server := range servers {
			r := &wire.CrashReport{Server: fmt.Sprint("i-", server), Start: 1}
			for n := range requests {
				own := fmt.Sprint(gateway, "/", server, "/", n)
				s := &wire.CrashSuspect{Flowed: true}
				for i, name := range []string{"request to h/" + own, fmt.Sprint("prompt part s", (gateway*servers+server*requests+n)%512), fmt.Sprint("prompt part f", server%20)} {
					s.Causes = append(s.Causes, &wire.Cause{Fingerprint: fingerprint(name), Label: name, Exact: i == 0})
				}
				r.Suspects = append(r.Suspects, s)
			}
			out = append(out, r)
		}
		return out
	}
	var l *quarantine.Ledger
	for range b.N {
		l = quarantine.New(quarantine.DefaultConfig())
		for gateway := range gateways {
			l.Report(int64(gateway), report(gateway)...)
		}
		for gateway := range gateways {
			l.Report(int64(170 + gateway))
		}
	}
	size := 0
	for _, c := range l.Crashes() {
		size += proto.Size(c)
	}
	for _, h := range l.Histories() {
		size += proto.Size(h)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(proto.Size(&wire.CrashReports{Reports: report(0)})), "bytes/command")
}
