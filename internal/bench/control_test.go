package bench

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against coefficients that are attributed to the wrong one of proxies, groups and their product.
func TestLeastSquaresFitFindsCoefficients(t *testing.T) {
	t.Parallel()

	var cells []ControlCell

	for _, n := range []int{25, 50, 100} {
		for _, g := range []int{50, 100, 400} {
			cells = append(cells, ControlCell{
				Proxies: n, Groups: g, IdleCPU: 7 + 2*float64(n) + 0.5*float64(g) + 0.25*float64(n*g),
			})
		}
	}

	fitted, solvable := leastSquaresFit(cells, func(c ControlCell) float64 { return c.IdleCPU })
	require.True(t, solvable)
	assert.InDelta(t, 7, fitted.Constant, 1e-6)
	assert.InDelta(t, 2, fitted.PerProxy, 1e-6)
	assert.InDelta(t, 0.5, fitted.PerGroup, 1e-6)
	assert.InDelta(t, 0.25, fitted.PerProduct, 1e-6)

	_, solvable = leastSquaresFit(cells[:3], func(c ControlCell) float64 { return c.IdleCPU })
	assert.False(t, solvable, "cells with a single number of proxies don't determine a coefficient")
}

// Guards against figures of changes that include the idle time, and against a run that measures no change.
func TestControlCountsEveryChange(t *testing.T) {
	t.Parallel()

	result, err := Control(t.Context(), ControlOptions{
		Proxies: []int{3}, Groups: []int{4}, IdleTime: 10 * time.Millisecond, Changes: 3, ChangeInterval: time.Millisecond,
		AnnounceTime: time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	require.Len(t, result.Cells, 1)
	assert.Len(t, result.Cells[0].Delays, 3)
	assert.Positive(t, result.Cells[0].SettingsBytes)
}

// Guards against a median of unsorted values, and against one that uses only one middle value of an even number.
func TestSpread(t *testing.T) {
	t.Parallel()

	for _, each := range []struct {
		values []float64
		want   Spread
	}{
		{[]float64{3}, Spread{3, 3, 3}},
		{[]float64{9, 1, 2}, Spread{1, 2, 9}},
		{[]float64{8, 1, 4, 2}, Spread{1, 3, 8}},
	} {
		assert.Equal(t, each.want, spreadOf(each.values))
	}
}

// Guards against a failover whose phases are taken from the messages of an earlier one.
func TestMessageRecorderCountsOnlyLaterMessages(t *testing.T) {
	t.Parallel()

	recorder := newMessageRecorder(slog.DiscardHandler)
	logger := slog.New(recorder).With("vm", "control1")

	logger.Info(messageStarted)

	between := time.Now()

	// Two successive readings of the clock may be equal.
	for !time.Now().After(between) {
		continue
	}

	_, found := recorder.firstAfter(messageStarted, between)
	assert.False(t, found)

	logger.Info(messageStarted)

	at, found := recorder.firstAfter(messageStarted, between)
	assert.True(t, found)
	assert.True(t, at.After(between))
	assert.Equal(t, 1, recorder.countAfter(messageStarted, between))
}

// Guards against thresholds that are parsed in another order than they are printed.
func TestThresholds(t *testing.T) {
	t.Parallel()

	read, err := ParseThresholds("250ms/1s/3")
	require.NoError(t, err)
	assert.Equal(t, Thresholds{250 * time.Millisecond, time.Second, 3}, read)
	assert.Equal(t, "250ms/1s/3", read.String())

	for _, text := range []string{"", "1s/1s", "1s/1s/x", "x/1s/1"} {
		_, err := ParseThresholds(text)
		assert.Error(t, err, text)
	}
}
