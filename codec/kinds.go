package codec

// Kinds of messages between VMs; the kind field of an envelope holds one of them.
const (
	KindHello         = "hello"             // opens a connection
	KindHeartbeat     = "heartbeat"         // state of the sender and its view of the tier
	KindSubRequests   = "sub-requests"      // sub-requests for upstreams that the receiver owns
	KindParts         = "parts"             // results of sub-requests
	KindCancel        = "cancel"            // cancels sub-requests
	KindHandover      = "handover"          // passes the ownership of upstreams to the receiver
	KindConfigRequest = "config-request"    // asks for the receiver's configuration
	KindConfigValue   = "config-value"      // the requested configuration
	KindOrderForward  = "order-forward"     // an order for the issuer of its permit
	KindOrderResult   = "order-result"      // outcome of a forwarded order
	KindCanaryRequest = "canary-request"    // asks whether requests with a fingerprint may run
	KindCanaryVerdict = "canary-verdict"    // answers a canary request
	KindCanaryReport  = "canary-report"     // outcome of a request with a fingerprint
	KindDraining      = "upstream-draining" // an upstream has said that it drains
	KindQueryForward  = "query-forward"     // a query for the receiver to fan out
	KindQueryAccept   = "query-accept"      // the receiver's query has started
	KindQueryConfirm  = "query-confirm"     // the sender waits for the receiver alone, which may now retry and hedge
	KindQueryResult   = "query-result"      // answer to a forwarded query
	KindQueryCancel   = "query-cancel"      // the answer is no longer needed

	KindUsageReport       = "usage-report"       // requests of teams that the sender has admitted
	KindQuotaLevels       = "quota-levels"       // teams that have little left of their quota
	KindFreshnessQuestion = "freshness-question" // asks as of when the receiver's configuration is current
	KindFreshnessAnswer   = "freshness-answer"   // answers a freshness question

	KindFragment = "fragment" // part of the encoding of another message
)
