package codec

// Kinds of messages between VMs; the kind field of an envelope holds one of them.
const (
	KindHello         = "hello"
	KindHeartbeat     = "heartbeat"
	KindSubRequests   = "sub-requests"
	KindParts         = "parts"
	KindCancel        = "cancel"
	KindHandover      = "handover"
	KindConfigRequest = "config-request"
	KindConfigValue   = "config-value"
	KindOrderForward  = "order-forward"
	KindOrderResult   = "order-result"
	KindCanaryRequest = "canary-request"
	KindCanaryVerdict = "canary-verdict"
	KindCanaryReport  = "canary-report"
	KindQueryForward  = "query-forward"
	KindQueryAccept   = "query-accept"
	KindQueryConfirm  = "query-confirm"
	KindQueryResult   = "query-result"
	KindQueryCancel   = "query-cancel"
)
