package remote

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

// Handler serves a table service and an object store.
func Handler(t infra.Table, o infra.Objects) http.Handler {
	mux := http.NewServeMux()
	serve(mux, pathGet, func(ctx context.Context, r getRequest) (row, error) {
		found, err := t.Get(ctx, r.Key)
		return rowOf(found), err
	})
	serve(mux, pathScan, func(ctx context.Context, r scanRequest) (rows, error) {
		found, err := t.Scan(ctx, r.Prefix, r.After, r.Limit)
		return rowsOf(found), err
	})
	serve(mux, pathCommit, func(ctx context.Context, r commitRequest) (commitAnswer, error) {
		versions, err := t.Commit(ctx, r.txn())
		return commitAnswer{Versions: versions}, err
	})
	mux.HandleFunc("PUT "+pathObjects, putObject(o))
	mux.HandleFunc("GET "+pathObjects, getObject(o))
	mux.HandleFunc("DELETE "+pathObjects, deleteObject(o))
	return mux
}

// WorkerHandler serves the worker of one instance.
func WorkerHandler(w infra.Worker) http.Handler {
	mux := http.NewServeMux()
	serve(mux, pathFence, func(ctx context.Context, r holderRequest) (empty, error) {
		return empty{}, w.Fence(ctx, r.Holder)
	})
	serve(mux, pathStart, func(ctx context.Context, r startRequest) (empty, error) {
		return empty{}, w.Start(ctx, r.start())
	})
	serve(mux, pathRenew, func(ctx context.Context, r holderRequest) (empty, error) {
		return empty{}, w.Renew(ctx, r.Holder, r.Lease.Std())
	})
	serve(mux, pathCheckpoint, func(ctx context.Context, r taskRequest) (stateAnswer, error) {
		state, err := w.Checkpoint(ctx, r.Job, r.Epoch)
		return stateAnswer{State: state}, err
	})
	serve(mux, pathThrottle, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, w.Throttle(ctx, r.Job, r.Epoch, r.Speed)
	})
	serve(mux, pathStop, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, w.Stop(ctx, r.Job, r.Epoch)
	})
	serve(mux, pathList, func(ctx context.Context, _ empty) (listAnswer, error) {
		list, err := w.List(ctx)
		return listAnswer{Tasks: mapSlice(list, func(s infra.TaskStatus) status { return status(s) })}, err
	})
	serve(mux, pathForget, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, w.Forget(ctx, r.Job, r.Epoch)
	})
	serve(mux, pathUsage, func(ctx context.Context, _ empty) (usageAnswer, error) {
		reports, err := w.Usage(ctx)
		return usageAnswer{Usage: mapSlice(reports, usageOf)}, err
	})
	return mux
}

// serve answers POST requests at path with f.
func serve[Request, Answer any](mux *http.ServeMux, path string, f func(context.Context, Request) (Answer, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body, err := readAll(http.MaxBytesReader(w, r.Body, MaxBody))
		if err == nil {
			err = decodeStrict(body, &request)
		}
		if err != nil {
			replyError(w, r, eris.Wrapf(infra.ErrInvalid, "body: %v", err))
			return
		}
		answer, err := f(r.Context(), request)
		if err != nil {
			replyError(w, r, err)
			return
		}
		reply(w, r, http.StatusOK, contentJSON, answer)
	})
}

func putObject(o infra.Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readAll(http.MaxBytesReader(w, r.Body, MaxBody))
		if err != nil {
			replyError(w, r, eris.Wrapf(infra.ErrInvalid, "body: %v", err))
			return
		}
		if err := o.Put(r.Context(), r.URL.Query().Get(paramKey), body); err != nil {
			replyError(w, r, err)
			return
		}
		reply(w, r, http.StatusOK, contentJSON, empty{})
	}
}

func getObject(o infra.Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := o.Get(r.Context(), r.URL.Query().Get(paramKey))
		if err != nil {
			replyError(w, r, err)
			return
		}
		write(w, r, http.StatusOK, contentBytes, body)
	}
}

func deleteObject(o infra.Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := o.Delete(r.Context(), r.URL.Query().Get(paramKey)); err != nil {
			replyError(w, r, err)
			return
		}
		reply(w, r, http.StatusOK, contentJSON, empty{})
	}
}

func replyError(w http.ResponseWriter, r *http.Request, err error) {
	p := problemOf(err)
	reply(w, r, p.Status, contentProblem, p)
}

// reply answers with a JSON body. If the body is too large or can't be encoded,
// an error reply says that the outcome is unknown.
func reply(w http.ResponseWriter, r *http.Request, code int, content string, answer any) {
	body, err := json.Marshal(answer)
	if err == nil && len(body) > MaxBody {
		err = errTooLarge
	}
	if err != nil {
		code, content = http.StatusGatewayTimeout, contentProblem
		body, _ = json.Marshal(problemOf(errors.Join(infra.ErrUnknown, err)))
	}
	write(w, r, code, content, body)
}

func write(w http.ResponseWriter, r *http.Request, code int, content string, body []byte) {
	w.Header().Set(headerContent, content)
	if compressed, ok := compress(r, body); ok {
		w.Header().Set(headerEncoding, encodingGzip)
		body = compressed
	}
	w.WriteHeader(code)
	// A write error means that the client has disconnected; the client then
	// treats the outcome of a write request as unknown.
	_, _ = w.Write(body)
}
