package caller

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"almondgrade/core/result"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	// verifierFields is the number of fields in a verifier: mechanism, iterations with salt, and keys.
	verifierFields = 3
	// mockIterations is PostgreSQL's default number of iterations.
	mockIterations = 4096
	mockSaltBytes  = 16
)

//nolint:gochecknoglobals // Drawn once for each process, so that an unknown user always gets the same salt.
var mockSecret = func() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret)

	return secret
}()

// errVerifierFormat is returned for a verifier that is not in PostgreSQL's text format.
var errVerifierFormat = errors.New("verifier is not of the form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// parseVerifier parses a verifier in the format of pg_authid.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	fields := strings.Split(text, "$")
	if len(fields) != verifierFields || fields[0] != scramMechanism {
		return scram.StoredCredentials{}, errVerifierFormat
	}

	iterations, salt, found := strings.Cut(fields[1], ":")
	stored, server, foundKeys := strings.Cut(fields[2], ":")

	if !found || !foundKeys {
		return scram.StoredCredentials{}, errVerifierFormat
	}

	count, err := strconv.Atoi(iterations)
	if err != nil || count <= 0 {
		return scram.StoredCredentials{}, errVerifierFormat
	}

	var decoded [3][]byte

	for i, field := range []string{salt, stored, server} {
		if decoded[i], err = base64.StdEncoding.DecodeString(field); err != nil || len(decoded[i]) == 0 {
			return scram.StoredCredentials{}, errVerifierFormat
		}
	}

	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: count},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}, nil
}

// mockCredentials returns credentials for an unknown user, whose login then takes the same steps as that of a known
// user, so that callers can't find out which users exist.
func mockCredentials(user string) scram.StoredCredentials {
	digest := hmac.New(sha256.New, mockSecret)
	_, _ = digest.Write([]byte(user))
	salt := digest.Sum(nil)[:mockSaltBytes]

	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key)

	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: mockIterations}, StoredKey: key, ServerKey: key,
	}
}

func authenticate(ctx context.Context, conn *Conn, user string, verifierOf func(string) (string, bool)) error {
	verifier, known := verifierOf(user)
	if known && verifier == "" {
		return conn.Send(&pgproto3.AuthenticationOk{})
	}

	credentials := mockCredentials(user)

	if known {
		var err error
		if credentials, err = parseVerifier(verifier); err != nil {
			return result.New(result.Authentication, "user %q: %w", user, err)
		}
	}

	if err := exchangeSASL(conn, credentials); err != nil {
		if err = refusal(ctx, err); result.CodeOf(err) == result.Protocol || result.CodeOf(err) == result.Draining {
			return err
		}

		return result.New(result.Authentication, "user %q is unknown or the password is wrong", user)
	}

	return conn.Send(&pgproto3.AuthenticationOk{})
}

// exchangeSASL exchanges the SASL messages of one login.
func exchangeSASL(conn *Conn, credentials scram.StoredCredentials) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return err
	}

	if err := conn.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}

	body, err := receivePasswordMessage(conn)
	if err != nil {
		return err
	}

	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil {
		return result.New(result.Protocol, "SASL initial response: %w", err)
	}

	if initial.AuthMechanism != scramMechanism {
		return result.New(result.Protocol, "SASL mechanism %.40q is not %s", initial.AuthMechanism, scramMechanism)
	}

	conversation := server.NewConversation()

	answer, err := conversation.Step(string(initial.Data))
	if err != nil {
		return err
	}

	if err := conn.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)}); err != nil {
		return err
	}

	if body, err = receivePasswordMessage(conn); err != nil {
		return err
	}

	if answer, err = conversation.Step(string(body)); err != nil {
		return err
	}

	if !conversation.Valid() {
		return errors.New("the SCRAM exchange did not complete")
	}

	return conn.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

// receivePasswordMessage flushes the authentication request and returns the body of the answer, a message of kind 'p'.
func receivePasswordMessage(conn *Conn) ([]byte, error) {
	if err := conn.Flush(); err != nil {
		return nil, err
	}

	kind, _, err := conn.ReadHeader()
	if err != nil {
		return nil, ProtocolError(err)
	}

	if kind != 'p' {
		return nil, result.New(result.Protocol, "unexpected message %q instead of a password", kind)
	}

	body, err := conn.ReadBody()
	if err != nil {
		return nil, ProtocolError(err)
	}

	return body, nil
}
