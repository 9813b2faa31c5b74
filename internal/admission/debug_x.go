package admission

import "fmt"

func (q *Queue) DebugEst() string {
	m := q.models["m"]
	s := ""
	for _, n := range []int{200, 500, 900, 2500, 8000} {
		s += fmt.Sprintf(" %.2f", m.service.estimate(n).Seconds())
	}
	for _, b := range m.bands {
		s += fmt.Sprintf(" ret%v", b.returns.next.Sub(m.window).Seconds())
	}
	return s
}
