package standin_test

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
)

func asPgError(err error, target **pgconn.PgError) bool {
	return errors.As(err, target)
}
