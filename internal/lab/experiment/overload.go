package experiment

import (
	"context"
	"fmt"
)

// runOverload measures goodput, in correct answers per second, at increasing online load.
func runOverload(ctx context.Context, options Options) (*Result, error) {
	// The scales multiply the rate of the profile; the largest load is about twice the capacity
	// of the replicas.
	var variants []variant
	for _, scale := range []float64{2, 4, 8, 12, 16, 24} {
		variants = append(variants, variant{name: fmt.Sprintf("load x%g", scale), onlineScale: scale})
	}
	result, measurements, err := compareVariants(ctx, options, variants)
	if err != nil {
		return nil, err
	}
	peak := 0.0
	for _, m := range measurements {
		peak = max(peak, m.row.Figures[figureGoodput])
	}
	last := measurements[len(measurements)-1]
	result.Online, result.Points, result.Events = last.stats.Summary(), last.stats.Points(), last.events
	result.Figures["goodput_share_at_highest_load"] = last.row.Figures[figureGoodput] / peak
	return result, nil
}
