package explain

import (
	"fmt"
	"strings"
)

// cause returns a sentence that states why the request ended as it did.
func cause(own, all []Line) string {
	own = withoutRelays(own)
	if len(own) == 0 {
		return "These logs show only that its connection was relayed: the log of the entry that took it is missing."
	}
	last := own[len(own)-1]
	switch {
	case last.Event == "refuse" && last.Fields["type"] == "request_crashes_backend":
		return refusedAsCrashing(last, all)
	case last.Event == "refuse" && last.Fields["at"] == "door":
		return refusedAtAdmission(last, all)
	case last.Event == "refuse":
		return refused(last, own, all)
	case last.Event == eventAnswerCut && last.Fields["type"] == "request_crashes_backend":
		return refusedAsCrashing(last, all)
	case last.Event == eventAnswerCut:
		return answerCut(last, own, all)
	case last.Event == "answer":
		return answered(last, own, all)
	case last.Event == "attempt_ended":
		return "It was still under way, or its process ended, after an attempt that " + describeAttempt(last, all) + "."
	}
	return "These logs show no failure: the request was routed, and no later line names it."
}

// refused explains a refusal of a request that had been admitted.
func refusedAtAdmission(refusal Line, all []Line) string {
	text := fmt.Sprintf("It was refused at admission by %s, so it did not run: %s", refusal.VM, refusal.Fields["reason"])
	if refusal.Fields["type"] != "configuration_stale" {
		return text + "."
	}
	for _, line := range all {
		if line.Event == "leading" && line.At.After(refusal.At) {
			return text + fmt.Sprintf("; the control processes had no leader until %s led at %s.", line.VM, timeOfDay(line))
		}
	}
	return text + "."
}

// refusedAsCrashing explains a refusal of a request that crashes are attributed to.
func refusedAsCrashing(refusal Line, all []Line) string {
	var crashes []string
	for _, line := range all {
		if line.Event == "crash" {
			crashes = append(crashes, fmt.Sprintf("%s at %s under %s", line.Fields["unit"], timeOfDay(line), line.Fields["request"]))
		}
	}
	text := fmt.Sprintf("It was refused by %s because backend servers crash while they run what it asks", refusal.VM)
	if part := refusal.Fields["part"]; part != "" {
		text = fmt.Sprintf("It was refused by %s because backend servers crash while they run requests whose prompts have the part %s", refusal.VM, part)
	}
	if len(crashes) > 0 {
		text += ": " + strings.Join(crashes, ", ")
	}
	return text + fmt.Sprintf(". The caller was asked to retry after %s ms.", refusal.Fields["retry_after_ms"])
}

// refused explains a refusal of a request that was taken.
func refused(refusal Line, own, all []Line) string {
	if failed, ok := lastLine(own, "attempt_ended"); ok {
		text := "It failed after an attempt that " + describeAttempt(failed, all) + describeRelay(own) + describeCrashCheck(all)
		if refusal.Fields["type"] == "outcome_unknown" {
			return text + ". It may run once only and had been sent, so it was not sent again: whether it ran is not known."
		}
		if refusal.Fields["ran"] == "no" {
			return text + "; surely nothing ran, and no further attempt was allowed."
		}
		if detail := refusal.Fields["detail"]; detail != "" {
			return text + "; " + detail + "."
		}
		return text + "; no further attempt was left."
	}
	return fmt.Sprintf("It was refused by %s before anything was sent (%s) after %s ms in the queue, with %s ms left; it did not run, and the caller was asked to retry after %s ms.",
		refusal.VM, refusal.Fields["reason"], refusal.Fields["queued_ms"], refusal.Fields["left_ms"], refusal.Fields["retry_after_ms"])
}

// eventAnswerCut is the event of an answer that had begun and that its caller did not receive to its end.
const eventAnswerCut = "answer_cut"

// answerCut explains an answer that ended early.
func answerCut(cut Line, own, all []Line) string {
	f := cut.Fields
	text := fmt.Sprintf("Its answer had begun and was cut after %s ms (%s, %s ms before its deadline) by %s, which had been up for %s ms",
		f["took_ms"], f["cause"], f["left_ms"], cut.VM, f["up_ms"])
	if f["lease_ms"] == "0" {
		text += " and held no configuration lease"
	}
	if f["arrival_config"] != f["config"] {
		text += fmt.Sprintf("; the configuration had gone from revision %s to %s meanwhile", f["arrival_config"], f["config"])
	}
	if failed, ok := lastLine(own, "attempt_ended"); ok {
		text += "; its last attempt " + describeAttempt(failed, all)
	}
	return text + "."
}

// answered explains an answer that took several attempts or too long.
func answered(answer Line, own, all []Line) string {
	text := fmt.Sprintf("It was answered after %s ms", answer.Fields["first_ms"]) + describeRelay(own)
	if failed, ok := lastLine(own, "attempt_ended"); ok {
		return text + ", in attempt " + answer.Fields["attempts"] + ", after one that " + describeAttempt(failed, all) + "."
	}
	if answer.Fields["queued_ms"] != "0" && answer.Fields["queued_ms"] != "" {
		return text + ", of which it waited " + answer.Fields["queued_ms"] + " ms in the queue of " + answer.VM + "."
	}
	if answer.Fields["late"] == "true" {
		return text + ", which is past its objective; the time was spent on the backend server, as the request was sent without queueing."
	}
	return text + "."
}

// describeAttempt returns how an attempt ended and, if its group was broken, why.
func describeAttempt(ended Line, all []Line) string {
	target := ended.Fields["target"]
	text := "ended as " + ended.Fields["outcome"] + " on " + target
	for _, line := range all {
		if line.Event == "decision" && line.Fields["kind"] == "break" && line.Fields["subject"] == target {
			return text + ", a group that " + line.VM + " took out of service at " + timeOfDay(line) + " because " + line.Fields["reason"]
		}
	}
	if detail := ended.Fields["err"]; detail != "" {
		return text + " (" + strings.TrimSpace(detail) + ")"
	}
	return text
}

// describeCrashCheck returns the verdict of the last check whether a backend server had crashed under
// the request, with its evidence.
func describeCrashCheck(all []Line) string {
	check, ok := lastLine(all, "crash_check")
	if !ok {
		return ""
	}
	text := "; the verdict on " + check.Fields["unit"] + " was " + check.Fields["verdict"] + ", as the entry found its address " + check.Fields["own_probe"]
	if refused := check.Fields["refused_by"]; refused != "" {
		text += ", " + refused + " were refused"
	}
	if absent := check.Fields["absent"]; absent != "" {
		text += ", and " + absent + " said nothing"
	}
	return text
}

// describeRelay returns which entry relayed the last attempt, if one did.
func describeRelay(own []Line) string {
	relayed, ok := lastLine(own, "relayed")
	if !ok {
		return ""
	}
	return ", relayed by " + relayed.Fields["peer"] + ", as " + relayed.VM + " did not reach " + relayed.Fields["server"] + " itself"
}

// withoutRelays leaves out the lines of the entries that relayed a connection. They end after the
// entry that took the request has answered it.
func withoutRelays(lines []Line) []Line {
	var own []Line
	for _, line := range lines {
		if line.Event != "relay_ended" {
			own = append(own, line)
		}
	}
	return own
}

// lastLine returns the last line of an event, if there is one.
func lastLine(lines []Line, event string) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == event {
			return lines[i], true
		}
	}
	return Line{}, false
}

// timeOfDay returns a line's time of day by the clock of its VM.
func timeOfDay(l Line) string { return l.At.Format("15:04:05.000") }
