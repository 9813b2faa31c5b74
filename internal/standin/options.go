package standin

import (
	"time"

	"github.com/go-kit/log"
)

// Common are the settings that engines and plain services share. A zero field
// takes the default named at it.
type Common struct {
	// ID is the stable name under which the stand-in announces itself.
	ID string
	// Listen is the address to listen on; default 127.0.0.1:0.
	Listen string
	// Advertise is the address that is announced; default the one listened
	// on. A test names its proxy here.
	Advertise string
	// Entries are the first addresses to announce to. A stand-in without any
	// is not announced.
	Entries []string
	// Interval is the time between announcements until an entry says
	// otherwise; default 500 ms.
	Interval time.Duration
	// Secret is the bearer token that orders, generations and calls must
	// carry; empty takes all.
	Secret string
	// AnnounceSecret is the bearer token that announcements carry.
	AnnounceSecret string
	DataCentre     string
	FabricDomain   string
	// LoadLag is the age of the load that is reported; default 0.
	LoadLag time.Duration
	// RestartAfter is how long a crashed stand-in stays away; default 200 ms.
	RestartAfter time.Duration
	// OnCrash replaces the crash and return within the process, for instance
	// by the end of the process.
	OnCrash func()
	Faults  Faults
	// Recorder keeps the runs; default a new one.
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

// Fencing says whether an engine checks fencing tokens.
type Fencing string

// The fencing modes.
const (
	FencingCheck  Fencing = "check"
	FencingIgnore Fencing = "ignore"
)

// EngineOptions are the settings of an engine. A zero field takes the default
// named at it.
type EngineOptions struct {
	Common
	// Accelerators is the number that the VM announces; default 4.
	Accelerators int
	// Fencing is the mode; default FencingCheck.
	Fencing Fencing
	// Slots bounds the generations that run at once; default 8.
	Slots int
	// QueueLimit bounds those that wait; default 64.
	QueueLimit int
	// TokenInterval is the time a token takes; 0 sends without a wait.
	TokenInterval time.Duration
	// PrefillPerBlock is the time that a prompt block not in the cache takes.
	PrefillPerBlock time.Duration
	// KeepAlive is the time between keep-alives; default 500 ms.
	KeepAlive time.Duration
	// WeightStore is the address to load weights from. Without one a load
	// takes LoadTime.
	WeightStore string
	LoadTime    time.Duration
	// Weights are the models whose weights the VM holds from the start.
	Weights []string
	// CacheBlocks bounds the prefix cache; default 4096 blocks.
	CacheBlocks int
	// CacheLag delays cache events; CacheGap loses each event whose sequence
	// it divides; 0 loses none.
	CacheLag time.Duration
	CacheGap uint64
	// MemberInterval is the time between the heartbeats of a group's members;
	// default 100 ms. Past MemberTimeout without one the member is missing
	// and the group's streams stall; default 500 ms. Past GroupTimeout the
	// group has failed; default 2 s.
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

// ServiceOptions are the settings of a plain service.
type ServiceOptions struct {
	Common
	// Name is the service's name, under which callers call it.
	Name string
	// Slots bounds the calls that run at once; default 64.
	Slots int
	// CallTime is how long a call takes.
	CallTime time.Duration
}

const defaultServiceSlots = 64

func (o ServiceOptions) withDefaults() ServiceOptions {
	o.Common = o.Common.withDefaults()
	setDefault(&o.Slots, defaultServiceSlots)
	return o
}

// WeightStoreOptions are the settings of the weight store.
type WeightStoreOptions struct {
	// Listen is the address to listen on; default 127.0.0.1:0.
	Listen string
	// BytesPerSecond bounds all loads together; default 64 MiB.
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
