package wire

import (
	"math"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/evidence"
)

// Fields of a load.
const (
	loadRunning = protowire.Number(iota + 1)
	loadQueued
	loadTokens
	loadRate
	loadCapacity
	loadAge
)

// putLoad appends the fields that differ from the last load.
func putLoad(b []byte, last, l *backend.Load) []byte {
	if last == nil {
		last = &backend.Load{}
	}
	b = putChanged(b, loadRunning, last.Running, l.Running)
	b = putChanged(b, loadQueued, last.Queued, l.Queued)
	b = putChanged(b, loadTokens, last.TokensInFlight, l.TokensInFlight)
	if last.TokensPerSecond != l.TokensPerSecond {
		b = protowire.AppendTag(b, loadRate, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, math.Float64bits(l.TokensPerSecond))
	}
	b = putChanged(b, loadCapacity, last.Capacity, l.Capacity)
	return putChanged(b, loadAge, int(last.AgeMillis), int(l.AgeMillis))
}

func putChanged(b []byte, number protowire.Number, last, v int) []byte {
	if v == last {
		return b
	}
	return putUint(b, number, protowire.EncodeZigZag(int64(v)))
}

// readLoad decodes a load; omitted fields have the values of the last load.
func readLoad(b []byte, last *backend.Load) (*backend.Load, error) {
	l := &backend.Load{}
	if last != nil {
		*l = *last
	}
	err := eachField(b, 0, func(v field) error {
		switch v.number {
		case loadRunning:
			return v.asInt(&l.Running)
		case loadQueued:
			return v.asInt(&l.Queued)
		case loadTokens:
			return v.asInt(&l.TokensInFlight)
		case loadRate:
			return v.asFloat(&l.TokensPerSecond)
		case loadCapacity:
			return v.asInt(&l.Capacity)
		case loadAge:
			age := 0
			err := v.asInt(&age)
			l.AgeMillis = int64(age)
			return err
		}
		return v.malformed()
	})
	return l, errors.Trace(err)
}

// Fields of a detail.
const (
	detailAddress = protowire.Number(iota + 1)
	detailDataCentre
	detailFabricDomain
	detailService
	detailAccelerators
	detailModel
	detailWeights
)

func putDetail(b []byte, d *evidence.Detail) []byte {
	b = putString(b, detailAddress, d.Address)
	b = putString(b, detailDataCentre, d.DataCentre)
	b = putString(b, detailFabricDomain, d.FabricDomain)
	b = putString(b, detailService, d.Service)
	b = putInt(b, detailAccelerators, d.Accelerators)
	b = putString(b, detailModel, d.Model)
	for _, w := range d.Weights {
		b = putString(b, detailWeights, w)
	}
	return b
}

func readDetail(b []byte) (*evidence.Detail, error) {
	d := &evidence.Detail{}
	err := eachField(b, detailWeights, func(v field) error {
		switch v.number {
		case detailAddress:
			return v.asString(&d.Address)
		case detailDataCentre:
			return v.asString(&d.DataCentre)
		case detailFabricDomain:
			return v.asString(&d.FabricDomain)
		case detailService:
			return v.asString(&d.Service)
		case detailAccelerators:
			return v.asInt(&d.Accelerators)
		case detailModel:
			return v.asString(&d.Model)
		case detailWeights:
			d.Weights = append(d.Weights, "")
			return v.asString(&d.Weights[len(d.Weights)-1])
		}
		return v.malformed()
	})
	return d, errors.Trace(err)
}

const listItem = protowire.Number(1)

func putList(b []byte, list []string) []byte {
	for _, s := range list {
		b = putString(b, listItem, s)
	}
	return b
}

func readList(b []byte) ([]string, error) {
	var list []string
	err := eachField(b, listItem, func(v field) error {
		if v.number != listItem {
			return v.malformed()
		}
		list = append(list, "")
		return v.asString(&list[len(list)-1])
	})
	return list, errors.Trace(err)
}
