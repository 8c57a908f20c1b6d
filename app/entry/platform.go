package entry

import (
	"go.uber.org/fx"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/bucket"
	"azurering/io/dynamo"
	"azurering/io/metric"
	"azurering/io/roster"
	"azurering/io/setup"
)

var platformModule = fx.Module("platform", fx.Provide(newTable, newObjects, newRoster))

func newTable(s setup.Settings, m *metric.Metrics) (core.Table, error) {
	return dynamo.New(dynamo.Config{
		Endpoint: s.Platform.Table, Region: s.Platform.Region, TableName: s.Platform.Name,
		AccessKey: s.Platform.Access, SecretKey: s.Platform.Secret, Timeout: s.Platform.Timeout,
		OnRequest: func(op dynamo.Op, _ int, code codes.Code) { m.CountStoreOperation("table-"+string(op), code) },
	})
}

func newObjects(s setup.Settings, m *metric.Metrics) (core.ObjectStore, error) {
	return bucket.New(bucket.Config{
		Endpoint: s.Platform.Objects, Region: s.Platform.Region, Bucket: s.Platform.Bucket,
		AccessKey: s.Platform.Access, SecretKey: s.Platform.Secret,
		OnRequest: func(op bucket.Op, _ int, code codes.Code) { m.CountStoreOperation("object-"+string(op), code) },
	})
}

func newRoster(s setup.Settings, m *metric.Metrics, log logrus.FieldLogger) (*roster.Roster, error) {
	return roster.New(roster.Config{
		URL: s.Platform.Hosts, BearerToken: s.Platform.Access, Timeout: s.Platform.Timeout, Log: log,
		OnRequest: func(op roster.Op, _ int, code codes.Code) { m.CountStoreOperation("roster-"+string(op), code) },
	})
}
