package engine

// Figures are the results of one run. Times are in milliseconds unless a name
// says otherwise.
type Figures struct {
	Policy  string  `json:"policy"`
	Picker  string  `json:"picker"`
	Seconds float64 `json:"seconds"` // measured, without the warm-up

	// Imbalance of the keyed service: load offered to each server, as busy time
	// at the server's current speed per unit of capacity, in windows of one second.
	CoefficientOfVariation float64 `json:"coefficientOfVariation"`
	MaxOverMean            float64 `json:"maxOverMean"`

	// Churn: changes of owner that took effect, for any cause.
	MovesPerMinute float64 `json:"movesPerMinute"`
	ShardsMoved    int     `json:"shardsMoved"`
	KeysMoved      int     `json:"keysMoved"` // keys inside the moved shards
	Splits         int     `json:"splits"`
	Merges         int     `json:"merges"`

	// UnavailableKeySeconds sums the time during which each key had no server
	// that would serve it, and UnavailableShare is its fraction of all key-seconds.
	UnavailableKeySeconds float64 `json:"unavailableKeySeconds"`
	UnavailableShare      float64 `json:"unavailableShare"`
	LongestUnavailable    float64 `json:"longestUnavailable"`

	// Offered counts requests of callers; Goodput counts those answered in time, with
	// all their calls to other services answered too.
	Offered            int     `json:"offered"`
	Goodput            float64 `json:"goodput"`            // per second
	GoodputShare       float64 `json:"goodputShare"`       // of the offered requests
	GoodputOfCapacity  float64 `json:"goodputOfCapacity"`  // work as a fraction of all servers' capacity
	DisturbedGoodput   float64 `json:"disturbedGoodput"`   // the same during the disturbance
	P50                float64 `json:"p50"`                // of answered requests, from
	P99                float64 `json:"p99"`                // their intended start
	P999               float64 `json:"p999"`               //
	AdmittedLate       float64 `json:"admittedLate"`       // fraction of the sent requests that ended after their deadline
	NotRun             int     `json:"notRun"`             //
	Unknown            int     `json:"unknown"`            //
	DependencyFailed   int     `json:"dependencyFailed"`   // answered, but one of their calls was not
	RetryAmplification float64 `json:"retryAmplification"` // attempts per request that made any
	CallerRetries      int     `json:"callerRetries"`      //
	Probes             int     `json:"probes"`             // servers probed by policies and pickers
	Ejections          int     `json:"ejections"`

	// Counted by the servers: requests that arrived at the concurrency
	// limit, and the highest fraction of the connection limit in use.
	LimitExceeded   int     `json:"limitExceeded"`
	ConnectionsPeak float64 `json:"connectionsPeak"`

	// RecoverySeconds is measured from the end of the disturbance; -1 if there is none, or the run
	// ended before recovery.
	RecoverySeconds float64 `json:"recoverySeconds"`
	LogAppends      int     `json:"logAppends"`
	ReportBytes     float64 `json:"reportBytesPerSecond"` // of one node, mean

	Reasons  map[string]int   `json:"reasons"` // of requests that were not answered
	Services []ServiceFigures `json:"services"`
	Timeline []Second         `json:"timeline"`
}

// ServiceFigures are the figures of one service.
type ServiceFigures struct {
	Service                string  `json:"service"`
	Keyed                  bool    `json:"keyed"`
	CoefficientOfVariation float64 `json:"coefficientOfVariation"`
	MaxOverMean            float64 `json:"maxOverMean"`
	Offered                int     `json:"offered"`
	GoodputShare           float64 `json:"goodputShare"`
	GoodputOfCapacity      float64 `json:"goodputOfCapacity"`
	DisturbedGoodput       float64 `json:"disturbedGoodput"`
	P50                    float64 `json:"p50"`
	P99                    float64 `json:"p99"`
	P999                   float64 `json:"p999"`
	AdmittedLate           float64 `json:"admittedLate"`
	NotRun                 int     `json:"notRun"`
	Unknown                int     `json:"unknown"`
}

// Second is one second of a run, for plots.
type Second struct {
	At                     float64 `json:"at"` // seconds since the start
	CoefficientOfVariation float64 `json:"coefficientOfVariation"`
	MaxOverMean            float64 `json:"maxOverMean"`
	Offered                int     `json:"offered"`
	Good                   int     `json:"good"`
	NotRun                 int     `json:"notRun"`
	P99                    float64 `json:"p99"`
	Moves                  int     `json:"moves"`
}
