package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
)

// The backend servers, models and keys that -dev starts with.
const (
	devEngines       = 4
	devVMsPerReplica = 2
	devKey           = "dev"
	devModel         = "demo"
	devService       = "files"
	devTokenInterval = 5 * time.Millisecond
	devLoadTime      = 100 * time.Millisecond
)

// runDev runs all roles and stand-in backend servers in one process. The process
// keeps its state in a temporary folder and removes the folder when it ends.
func runDev(received signals) int {
	folder, err := os.MkdirTemp("", "citronstep-dev-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronstepd:", err)
		return exitFailure
	}
	defer func() { _ = os.RemoveAll(folder) }()
	p, err := startNode(settings.Dev(folder), "", received)
	if err != nil {
		return exitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closeAll, err := startDev(ctx, p.settings, p.logger)
	defer closeAll()
	if err != nil {
		_ = level.Error(p.logger).Log("event", "dev_failed", "err", err)
		return exitFailure
	}
	return p.serve()
}

// startDev bootstraps the cluster, starts the stand-ins and waits until all groups
// serve. It returns a function that closes the stand-ins, also with an error.
func startDev(ctx context.Context, s *settings.Settings, logger log.Logger) (func(), error) {
	var closers []func()
	closeAll := func() {
		for _, c := range closers {
			c()
		}
	}
	if err := bootstrapDevCluster(ctx, s); err != nil {
		return closeAll, errors.Trace(err)
	}
	for i := range devEngines {
		e, err := standin.StartEngine(ctx, standin.EngineOptions{
			Common:        devServerOptions(s, fmt.Sprintf("engine-%d", i)),
			TokenInterval: devTokenInterval, LoadTime: devLoadTime,
		})
		if err != nil {
			return closeAll, errors.Trace(err)
		}
		closers = append(closers, e.Close)
	}
	service, err := standin.StartService(ctx, standin.ServiceOptions{
		Common: devServerOptions(s, devService+"-0"), Name: devService,
	})
	if err != nil {
		return closeAll, errors.Trace(err)
	}
	closers = append(closers, service.Close)
	if err := awaitDevGroups(ctx, s); err != nil {
		return closeAll, errors.Trace(err)
	}
	_ = level.Info(logger).Log("event", "dev_ready", "callers", s.Entry.Listen, "admin", s.Admin.Listen, "key", devKey, "model", devModel)
	return closeAll, nil
}

// devServerOptions returns the options that all stand-in backend servers share.
func devServerOptions(s *settings.Settings, id string) standin.Common {
	return standin.Common{
		ID: id, Entries: []string{s.Entry.Advertise}, DataCentre: s.DataCentre, FabricDomain: "dev-domain",
	}
}

// devConfiguration returns the initial configuration of the development cluster.
func devConfiguration() blackboard.ConfigChange {
	return blackboard.ConfigChange{
		ChangeID:   "dev",
		Operator:   "dev",
		Workspaces: []blackboard.Workspace{{Name: "dev", KeySHA256: auth.KeyHash(devKey)}},
		Classes: []blackboard.RequestClass{
			{Name: "interactive", Worth: 10}, {Name: "batch", Worth: 1},
		},
		Groups: []blackboard.GroupSpec{{
			Name: devModel, Model: devModel, Replicas: devEngines / devVMsPerReplica, VMsPerReplica: devVMsPerReplica, Worth: 1,
		}},
		Presets:   []blackboard.Preset{{Name: "ordinary"}},
		UsePreset: "ordinary",
	}
}

// bootstrapDevCluster bootstraps the cluster through the admin API.
func bootstrapDevCluster(ctx context.Context, s *settings.Settings) error {
	body, err := json.Marshal(adminapi.InitRequest{Initial: devConfiguration()})
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Admin.Listen+adminapi.PathInit, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	var refused failure.Body
	if err := json.NewDecoder(answer.Body).Decode(&refused); err != nil {
		return errors.Trace(err)
	}
	return refused.Error
}

// The interval and limit of the wait for all groups.
const (
	devGroupPollInterval = 50 * time.Millisecond
	devGroupTimeout      = 20 * time.Second
)

// awaitDevGroups waits until all groups serve, for at most devGroupTimeout. The
// process already serves calls during the wait.
func awaitDevGroups(ctx context.Context, s *settings.Settings) error {
	ctx, cancel := context.WithTimeout(ctx, devGroupTimeout)
	defer cancel()
	for {
		if devGroupsServing(ctx, s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(devGroupPollInterval):
		}
	}
}

// devGroupsServing reports whether all groups are routable according to the admin API.
func devGroupsServing(ctx context.Context, s *settings.Settings) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Admin.Listen+adminapi.PathStatus, nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var st adminapi.Status
	if err := json.NewDecoder(answer.Body).Decode(&st); err != nil {
		return false
	}
	serving := 0
	for _, g := range st.Groups {
		if g.State.Routable() {
			serving++
		}
	}
	return serving == devEngines/devVMsPerReplica
}
