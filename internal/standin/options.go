package standin

import (
	"time"

	"github.com/go-kit/log"
)

// Common holds the settings that engines and plain services share. A zero field has the default
// given in its comment.
type Common struct {
	// ID is the stable name under which the stand-in announces itself.
	ID string
	// Listen is the address to listen on; default 127.0.0.1:0.
	Listen string
	// Advertise is the address to announce; default is the listen address. Tests set it to the
	// address of their proxy.
	Advertise string
	// Entries are the initial addresses to announce to. Without any, the stand-in sends no
	// announcements.
	Entries []string
	// Interval is the time between announcements until an entry sets another one; default 500
	// ms.
	Interval time.Duration
	// Secret is the bearer token that orders, generations and calls must carry; if empty, none
	// is required.
	Secret string
	// AnnounceSecret is the bearer token that announcements carry.
	AnnounceSecret string
	DataCentre     string
	FabricDomain   string
	// LoadLag is the age of the reported load; default 0.
	LoadLag time.Duration
	// RestartAfter is the time from a crash to the restart; default 200 ms.
	RestartAfter time.Duration
	// OnCrash, if not nil, replaces the crash and restart within the process, for example by
	// ending the process.
	OnCrash func()
	Faults  Faults
	// Recorder records the runs; default is a new one.
	Recorder *Recorder
	Logger   log.Logger
}

const defaultRestartAfter = 200 * time.Millisecond

func (o Common) withDefaults() Common {
	setDefault(&o.Listen, loopbackAnyPort)
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.RestartAfter, defaultRestartAfter)
	if o.Recorder == nil {
		o.Recorder = NewRecorder(nil)
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

// Fencing selects whether an engine checks fencing tokens.
type Fencing string

// The fencing modes.
const (
	FencingCheck  Fencing = "check"
	FencingIgnore Fencing = "ignore"
)

// EngineOptions holds the settings of an engine. A zero field has the default given in its
// comment.
type EngineOptions struct {
	Common
	// Accelerators is the number of accelerators that the VM announces; default 4.
	Accelerators int
	// Fencing is the mode; default FencingCheck.
	Fencing Fencing
	// Slots bounds the generations that run at the same time; default 8.
	Slots int
	// QueueLimit bounds the generations that wait for a slot; default 64.
	QueueLimit int
	// TokenInterval is the time between tokens; 0 sends them without delay.
	TokenInterval time.Duration
	// PrefillPerBlock is the prefill time for each prompt block that is not in the cache.
	PrefillPerBlock time.Duration
	// KeepAlive is the time between keep-alives; default 500 ms.
	KeepAlive time.Duration
	// WeightStore is the address to load weights from. If it is empty, a load takes LoadTime.
	WeightStore string
	LoadTime    time.Duration
	// Weights are the models whose weights the VM has at the start.
	Weights []string
	// CacheBlocks bounds the prefix cache; default 4096 blocks.
	CacheBlocks int
	// CacheLag delays cache events. CacheGap drops each event whose sequence number is a
	// multiple of it; 0 drops none.
	CacheLag time.Duration
	CacheGap uint64
	// MemberInterval is the time between heartbeats of a group's members; default 100 ms. After
	// MemberTimeout without a heartbeat a member counts as missing and the group's streams
	// stall; default 500 ms. After GroupTimeout with a missing member the group has failed;
	// default 2 s.
	MemberInterval time.Duration
	MemberTimeout  time.Duration
	GroupTimeout   time.Duration
}

const (
	defaultAccelerators   = 4
	defaultSlots          = 8
	defaultQueueLimit     = 64
	defaultKeepAlive      = 500 * time.Millisecond
	defaultCacheBlocks    = 4096
	defaultMemberInterval = 100 * time.Millisecond
	defaultMemberTimeout  = 500 * time.Millisecond
	defaultGroupTimeout   = 2 * time.Second
)

func (o EngineOptions) withDefaults() EngineOptions {
	o.Common = o.Common.withDefaults()
	setDefault(&o.Accelerators, defaultAccelerators)
	setDefault(&o.Fencing, FencingCheck)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.QueueLimit, defaultQueueLimit)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.MemberInterval, defaultMemberInterval)
	setDefault(&o.MemberTimeout, defaultMemberTimeout)
	setDefault(&o.GroupTimeout, defaultGroupTimeout)
	return o
}

// ServiceOptions holds the settings of a plain service.
type ServiceOptions struct {
	Common
	// Name is the name under which callers call the service.
	Name string
	// Slots bounds the calls that run at the same time; default 64.
	Slots int
	// CallTime is the duration of a call.
	CallTime time.Duration
}

const defaultServiceSlots = 64

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.Common = o.Common.withDefaults()
	setDefault(&o.Slots, defaultServiceSlots)
	return o
}

// WeightStoreOptions holds the settings of the weight store.
type WeightStoreOptions struct {
	// Listen is the address to listen on; default 127.0.0.1:0.
	Listen string
	// BytesPerSecond bounds the total rate of all loads; default 64 MiB.
	BytesPerSecond int
	// ModelBytes is the size of each model; default 4 MiB.
	ModelBytes int
}

const (
	defaultBytesPerSecond = 64 << 20
	defaultModelBytes     = 4 << 20
)

func (o WeightStoreOptions) withDefaults() WeightStoreOptions {
	setDefault(&o.Listen, loopbackAnyPort)
	setDefault(&o.BytesPerSecond, defaultBytesPerSecond)
	setDefault(&o.ModelBytes, defaultModelBytes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
