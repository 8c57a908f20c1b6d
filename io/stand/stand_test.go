package stand_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/codes"
	"azurering/core/timer"
	"azurering/io/stand"
)

// sendRequest sends a signed request to a handler and returns the status and
// body of the response. header holds pairs of name and value.
func sendRequest(h http.Handler, method, path, body string, header ...string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "AWS4-HMAC-SHA256 Credential=host-a/20260101/local/dynamodb/aws4_request")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func callDynamo(s *stand.Stand, op, body string) (int, string) {
	return sendRequest(s.Handler(), http.MethodPost, stand.TablePath, body, "X-Amz-Target", "DynamoDB_20120810."+op)
}

func transact(s *stand.Stand, token, value, condition string) (int, string) {
	return callDynamo(s, "TransactWriteItems", fmt.Sprintf(`{"ClientRequestToken":%q,"TransactItems":[{"Put":{"TableName":"azurering",
		"Item":{"space":{"S":"s"},"key":{"S":"k"},"value":{"S":%q}}%s}}]}`, token, value, condition))
}

// Guards against the emulator accepting requests that DynamoDB rejects, which
// would let a broken client pass its tests.
func TestTableRefusals(t *testing.T) {
	s := stand.New(stand.Config{})
	const key = `"Key":{"space":{"S":"s"},"key":{"S":"k"}}`
	const query = `{"TableName":"azurering","ConsistentRead":true,"KeyConditionExpression":`
	transaction := func(parts string) string { return `{"TransactItems":[` + parts + `]}` }
	check := func(expr, names, values string) string {
		return transaction(`{"ConditionCheck":{"TableName":"azurering",` + key + `,"ConditionExpression":"` + expr +
			`","ExpressionAttributeNames":` + names + `,"ExpressionAttributeValues":` + values + `}}`)
	}
	deletion := `{"Delete":{"TableName":"azurering",` + key + `}}`
	for name, c := range map[string]struct{ op, body, kind string }{
		"unknown operation":        {"Scan", `{}`, "UnknownOperationException"},
		"not JSON":                 {"GetItem", `{`, "ValidationException"},
		"unknown field":            {"GetItem", `{"Attributes":[]}`, "ValidationException"},
		"unknown table":            {"GetItem", `{"TableName":"x","ConsistentRead":true,` + key + `}`, "ResourceNotFoundException"},
		"inconsistent read":        {"GetItem", `{"TableName":"azurering",` + key + `}`, "ValidationException"},
		"key incomplete":           {"GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"S":"s"}}}`, "ValidationException"},
		"key empty":                {"GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"S":"s"},"key":{"S":""}}}`, "ValidationException"},
		"key with extra field":     {"GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"S":"s"},"key":{"S":"k"},"x":{"S":"x"}}}`, "ValidationException"},
		"value of two types":       {"GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"S":"s","N":"1"},"key":{"S":"k"}}}`, "ValidationException"},
		"value of other type":      {"GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"BOOL":true},"key":{"S":"k"}}}`, "ValidationException"},
		"query without key":        {"Query", query + `"#k > :k","ExpressionAttributeNames":{"#k":"key"},"ExpressionAttributeValues":{":k":{"S":"a"}}}`, "ValidationException"},
		"query by attribute":       {"Query", query + `"#k = :k","ExpressionAttributeNames":{"#k":"value"},"ExpressionAttributeValues":{":k":{"S":"a"}}}`, "ValidationException"},
		"query limit 0":            {"Query", query + `"#k = :k","Limit":0,"ExpressionAttributeNames":{"#k":"space"},"ExpressionAttributeValues":{":k":{"S":"a"}}}`, "ValidationException"},
		"start in other partition": {"Query", query + `"#k = :k","ExclusiveStartKey":{"space":{"S":"s"},"key":{"S":"k"}},"ExpressionAttributeNames":{"#k":"space"},"ExpressionAttributeValues":{":k":{"S":"a"}}}`, "ValidationException"},
		"no items":                 {"TransactWriteItems", transaction(""), "ValidationException"},
		"too many items":           {"TransactWriteItems", transaction(strings.TrimSuffix(strings.Repeat(deletion+",", 101), ",")), "ValidationException"},
		"one row twice":            {"TransactWriteItems", transaction(deletion + "," + deletion), "ValidationException"},
		"two parts":                {"TransactWriteItems", transaction(strings.TrimSuffix(deletion, "}") + "," + strings.TrimPrefix(strings.Replace(deletion, "Delete", "ConditionCheck", 1), "{")), "ValidationException"},
		"update":                   {"TransactWriteItems", transaction(strings.Replace(deletion, "Delete", "Update", 1)), "ValidationException"},
		"put without item":         {"TransactWriteItems", transaction(strings.Replace(deletion, "Delete", "Put", 1)), "ValidationException"},
		"item too large":           {"TransactWriteItems", transaction(`{"Put":{"TableName":"azurering","Item":{"space":{"S":"s"},"key":{"S":"k"},"v":{"S":"` + strings.Repeat("x", 400<<10) + `"}}}}`), "ValidationException"},
		"plain name":               {"TransactWriteItems", check("version = :v", `{}`, `{":v":{"N":"1"}}`), "ValidationException"},
		"undefined name":           {"TransactWriteItems", check("#v = :v", `{}`, `{":v":{"N":"1"}}`), "ValidationException"},
		"undefined value":          {"TransactWriteItems", check("#v = :v", `{"#v":"version"}`, `{}`), "ValidationException"},
		"name not used":            {"TransactWriteItems", check("attribute_exists(#v)", `{"#v":"version","#w":"w"}`, `{}`), "ValidationException"},
		"value not used":           {"TransactWriteItems", check("attribute_exists(#v)", `{"#v":"version"}`, `{":v":{"N":"1"}}`), "ValidationException"},
		"check without a term":     {"TransactWriteItems", check("", `{}`, `{}`), "ValidationException"},
		"condition fails":          {"TransactWriteItems", check("attribute_exists(#v)", `{"#v":"version"}`, `{}`), "TransactionCanceledException"},
	} {
		status, body := callDynamo(s, c.op, c.body)
		require.Equal(t, http.StatusBadRequest, status, "%s: %s", name, body)
		require.Contains(t, body, "#"+c.kind, name)
	}
	status, _ := sendRequest(s.Handler(), http.MethodPost, stand.TablePath, `{}`, "X-Amz-Target", "DynamoDB_20120810.GetItem", "Authorization", "")
	require.Equal(t, http.StatusBadRequest, status, "unsigned request must be rejected")
}

// Guards against applying a retried transaction twice, and against remembering
// completed transactions for longer than DynamoDB does.
func TestClientRequestToken(t *testing.T) {
	clock := timer.NewManual()
	s := stand.New(stand.Config{Timer: clock})
	const absent = `,"ConditionExpression":"attribute_not_exists(#k)","ExpressionAttributeNames":{"#k":"key"}`
	status, body := transact(s, "t1", "a", absent)
	require.Equal(t, http.StatusOK, status, body)
	status, body = transact(s, "t1", "a", absent)
	require.Equal(t, http.StatusOK, status, body)
	_, body = transact(s, "t1", "b", absent)
	require.Contains(t, body, "IdempotentParameterMismatchException")
	_, body = transact(s, "t2", "a", absent)
	require.Contains(t, body, `"Code":"ConditionalCheckFailed"`)
	clock.Advance(10*time.Minute + 1)
	_, body = transact(s, "t1", "a", absent)
	require.Contains(t, body, `"Code":"ConditionalCheckFailed"`)
}

// Guards against rate limits that have no effect, never refill, or count reads
// and other services as writes to the table.
func TestLimitInVirtualTime(t *testing.T) {
	clock := timer.NewManual()
	s := stand.New(stand.Config{Timer: clock})
	require.NoError(t, s.SetFaults(stand.Fault{Kind: stand.FaultThrottle, Service: stand.ServiceTable, WritesPerSecond: 5}))
	countAccepted := func(n int) (accepted int) {
		for range n {
			if status, _ := transact(s, "", "v", ""); status == http.StatusOK {
				accepted++
			}
		}
		return accepted
	}
	require.Equal(t, 5, countAccepted(20))
	clock.Advance(400 * time.Millisecond)
	require.Equal(t, 2, countAccepted(20))
	for range 20 {
		status, body := callDynamo(s, "GetItem", `{"TableName":"azurering","ConsistentRead":true,"Key":{"space":{"S":"s"},"key":{"S":"k"}}}`)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, `{"S":"v"}`)
	}
	status, _ := sendRequest(s.Handler(), http.MethodPut, "/s3/azurering/o", "x", "X-Amz-Content-Sha256", "UNSIGNED-PAYLOAD")
	require.Equal(t, http.StatusOK, status, "limit must not apply to another service")
}

type hostListJSON struct {
	Hosts []struct{ Name, State string }
}

func listHosts(t *testing.T, s *stand.Stand) map[string]string {
	t.Helper()
	status, body := sendRequest(s.Handler(), http.MethodGet, stand.HostsPath, "")
	require.Equal(t, http.StatusOK, status)
	var l hostListJSON
	require.NoError(t, json.Unmarshal([]byte(body), &l))
	states := map[string]string{}
	for _, h := range l.Hosts {
		states[h.Name] = h.State
	}
	return states
}

func announce(s *stand.Stand, id, state string) int {
	body := fmt.Sprintf(`{"name":%q,"domain":"d","caller":"127.0.0.1:1","peer":"127.0.0.1:2","state":%q}`, id, state)
	status, _ := sendRequest(s.Handler(), http.MethodPut, stand.HostsPath+"/"+id, body)
	return status
}

// Guards against a host list that shows announcements without the delay, skips
// a change of state or keeps expired hosts.
func TestHostListLags(t *testing.T) {
	clock := timer.NewManual()
	s := stand.New(stand.Config{Timer: clock, HostListDelay: 10 * time.Second, HostTTL: 30 * time.Second})
	require.Equal(t, http.StatusNoContent, announce(s, "a", "live"))
	require.Empty(t, listHosts(t, s))
	clock.Advance(9 * time.Second)
	require.Empty(t, listHosts(t, s))
	require.Equal(t, http.StatusNoContent, announce(s, "a", "leaving"))
	clock.Advance(time.Second)
	require.Equal(t, map[string]string{"a": "live"}, listHosts(t, s))
	clock.Advance(9 * time.Second)
	require.Equal(t, map[string]string{"a": "leaving"}, listHosts(t, s))
	clock.Advance(30 * time.Second)
	require.Equal(t, map[string]string{"a": "leaving"}, listHosts(t, s), "expired host must stay listed for the lag")
	clock.Advance(time.Second)
	require.Empty(t, listHosts(t, s))
	// A host that announces itself less often than the expiry disappears in
	// between.
	announce(s, "c", "live")
	clock.Advance(35 * time.Second)
	announce(s, "c", "live")
	clock.Advance(6 * time.Second) // the list now shows the state 31 s after the first announcement
	require.Empty(t, listHosts(t, s))
	clock.Advance(4 * time.Second)
	require.Equal(t, map[string]string{"c": "live"}, listHosts(t, s))
	for _, state := range []string{"dead", ""} {
		require.Equal(t, http.StatusBadRequest, announce(s, "b", state))
	}
}

// Guards against faults that can't be set or removed over HTTP, and against an
// invalid request changing them.
func TestControl(t *testing.T) {
	s := stand.New(stand.Config{})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer func() { _ = s.Close() }()
	isReachable := func() bool {
		resp, err := http.Get(s.URL() + stand.HostsPath)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return true
	}
	require.True(t, isReachable())
	const faultsJSON = `{"down":true,"faults":[{"kind":"slow","service":"table","identity":"host-a","delay":"2s","count":3}]}`
	status, body := sendRequest(s.ControlHandler(), http.MethodPut, stand.ControlPath, faultsJSON)
	require.Equal(t, http.StatusOK, status, body)
	require.JSONEq(t, faultsJSON, body)
	require.False(t, isReachable())
	require.Equal(t, []stand.Fault{{Kind: stand.FaultDelay, Service: stand.ServiceTable, ClientID: "host-a", Delay: 2 * time.Second, MaxRequests: 3}}, s.Faults())
	for _, invalid := range []string{`{`, `{"up":true}`, `{"faults":[{"kind":"odd"}]}`, `{"faults":[{"kind":"slow","delay":"x"}]}`, `{"faults":[{"kind":"cut","service":"x"}]}`, `{"faults":[{"kind":"limit","reads":-1}]}`} {
		status, body = sendRequest(s.ControlHandler(), http.MethodPut, stand.ControlPath, invalid)
		require.Equal(t, http.StatusBadRequest, status, invalid)
		require.Contains(t, body, fmt.Sprintf("code %d", codes.UsageBad))
	}
	require.Len(t, s.Faults(), 1)
	status, body = sendRequest(s.ControlHandler(), http.MethodDelete, stand.ControlPath, "")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"down":false,"faults":[]}`, body)
	require.True(t, isReachable())
}

// Guards against accepting objects that S3 rejects, and against listening on an
// address that other machines can reach.
func TestOtherRefusals(t *testing.T) {
	s := stand.New(stand.Config{})
	put := func(path string, header ...string) int {
		status, _ := sendRequest(s.Handler(), http.MethodPut, path, "x", header...)
		return status
	}
	require.Equal(t, http.StatusNotFound, put("/s3/other/o", "X-Amz-Content-Sha256", "UNSIGNED-PAYLOAD"))
	require.Equal(t, http.StatusBadRequest, put("/s3/azurering/", "X-Amz-Content-Sha256", "UNSIGNED-PAYLOAD"))
	require.Equal(t, http.StatusBadRequest, put("/s3/azurering/o", "X-Amz-Content-Sha256", "00"))
	require.Equal(t, http.StatusNotImplemented, put("/s3/azurering/o", "X-Amz-Content-Sha256", "STREAMING-UNSIGNED-PAYLOAD-TRAILER"))
	require.Equal(t, http.StatusForbidden, put("/s3/azurering/o", "Authorization", ""))
	status, _ := sendRequest(s.Handler(), http.MethodDelete, "/s3/azurering/o", "")
	require.Equal(t, http.StatusNotImplemented, status)
	for _, address := range []string{"0.0.0.0:0", "192.0.2.1:0", "localhost:0", "127.0.0.1"} {
		require.Equal(t, codes.SettingsInvalid, codes.Of(s.Listen(address)), address)
	}
}
