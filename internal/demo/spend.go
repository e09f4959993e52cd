package demo

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
)

// overspend returns the amount, in millionths of the currency unit, by which the recorded
// work costs more than the organisations' spend limits allow. The limits of all accounting
// periods that the run touched are added up.
func overspend(recs records, text string, start, end time.Time) (int64, error) {
	cfg, err := config.Parse([]config.File{{Name: "demo.yaml", Data: []byte(text)}})
	if err != nil {
		return 0, err
	}
	v := config.Compile(1, "", cfg)
	price := v.Model(model)
	spent := map[string]int64{ample.name: int64(recs.calls) * int64(v.Service("order-desk").CallPrice)}
	for _, g := range recs.generations {
		org, _, _ := strings.Cut(g.PromptText, " ")
		spent[org] += (int64(g.Prompt)*int64(price.PromptPrice) + int64(g.Tokens)*int64(price.OutputPrice)) / 1000
	}
	var over int64
	for _, org := range cfg.Organisations {
		periods := budget.PeriodOf(end, org.Limits) - budget.PeriodOf(start, org.Limits) + 1
		over += max(spent[org.Name]-periods*int64(org.Limits.Spend), 0)
	}
	return over, nil
}
