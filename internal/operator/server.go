package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxChangeBytes bounds the request body of a change: the template and the
// fields around it.
const maxChangeBytes = 2 * template.MaxTextBytes

// Backend implements the operators' calls. An error that is a problem.Problem is
// returned to the operator as it is.
type Backend interface {
	Templates(ctx context.Context) ([]TemplateInfo, error)
	Template(ctx context.Context, name string) (TemplateView, error)
	Change(ctx context.Context, c template.Change) ChangeResult
	History(ctx context.Context, name string) ([]AuditEntry, error)
	TemplateStatus(ctx context.Context, name string) (TemplateStatus, error)
	Workspaces() []WorkspaceStatus
	Endpoints() []EndpointStatus
	Drain(ctx context.Context, id, who string, d Drain) ChangeResult
	Entries() []EntryStatus
	Audit(ctx context.Context) ([]AuditEntry, error)
}

// Server serves the operators' API.
type Server struct {
	backend   Backend
	operators []credential
	mux       *http.ServeMux
}

// credential is an operator's name and the SHA-256 of the operator's token.
type credential struct {
	name string
	hash [sha256.Size]byte
}

// NewServer returns a server for operators from validated settings.
func NewServer(b Backend, operators []settings.Operator, metrics http.HandlerFunc) *Server {
	s := &Server{backend: b, mux: http.NewServeMux()}
	for _, o := range operators {
		c := credential{name: o.Name}
		sum, _ := hex.DecodeString(o.TokenSHA256)
		copy(c.hash[:], sum)
		s.operators = append(s.operators, c)
	}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /metrics", metrics)
	s.mux.HandleFunc("GET "+TemplatesPath, s.authenticated(s.templates))
	s.mux.HandleFunc("GET "+TemplatePath+"{name}", s.authenticated(s.template))
	s.mux.HandleFunc("PUT "+TemplatePath+"{name}", s.authenticated(s.apply))
	s.mux.HandleFunc("DELETE "+TemplatePath+"{name}", s.authenticated(s.remove))
	s.mux.HandleFunc("GET "+TemplatePath+"{name}/history", s.authenticated(s.history))
	s.mux.HandleFunc("GET "+TemplatePath+"{name}/status", s.authenticated(s.templateStatus))
	s.mux.HandleFunc("GET "+WorkspacesPath, s.authenticated(func(w http.ResponseWriter, _ *http.Request, _ string) {
		writeJSON(w, http.StatusOK, s.backend.Workspaces())
	}))
	s.mux.HandleFunc("GET "+EndpointsPath, s.authenticated(func(w http.ResponseWriter, _ *http.Request, _ string) {
		writeJSON(w, http.StatusOK, s.backend.Endpoints())
	}))
	s.mux.HandleFunc("POST "+EndpointPath+"{id}/drain", s.authenticated(s.drain))
	s.mux.HandleFunc("GET "+EntriesPath, s.authenticated(func(w http.ResponseWriter, _ *http.Request, _ string) {
		writeJSON(w, http.StatusOK, s.backend.Entries())
	}))
	s.mux.HandleFunc("GET "+AuditPath, s.authenticated(s.audit))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// authenticated passes requests with an operator's token on to next, with the
// operator's name. The audit trail's who is always this name.
func (s *Server) authenticated(next func(w http.ResponseWriter, r *http.Request, who string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		who, ok := s.identify(token)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem.Write(w, problem.New(http.StatusUnauthorized, verdict.NotRun, "the operator's token is missing or not known"))
			return
		}
		next(w, r, who)
	}
}

// identify returns the name of the operator with this token. It compares the
// token with every operator's, so that the time taken reveals nothing.
func (s *Server) identify(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range s.operators {
		if subtle.ConstantTimeCompare(hash[:], s.operators[i].hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return s.operators[found].name, true
}

func (s *Server) templates(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.backend.Templates(r.Context())
	writeResult(w, list, err)
}

func (s *Server) template(w http.ResponseWriter, r *http.Request, _ string) {
	v, err := s.backend.Template(r.Context(), r.PathValue("name"))
	writeResult(w, v, err)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.backend.History(r.Context(), r.PathValue("name"))
	writeResult(w, list, err)
}

func (s *Server) templateStatus(w http.ResponseWriter, r *http.Request, _ string) {
	v, err := s.backend.TemplateStatus(r.Context(), r.PathValue("name"))
	writeResult(w, v, err)
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.backend.Audit(r.Context())
	writeResult(w, list, err)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, who string) {
	var a Apply
	if !readJSON(w, r, &a) {
		return
	}
	t, problems := template.Parse(a.Template)
	if len(problems) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, ChangeResult{Outcome: template.Refused, Problems: problems, Reason: "the template is faulty"})
		return
	}
	s.change(w, r, who, a, t)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, who string) {
	var a Apply
	if readJSON(w, r, &a) {
		s.change(w, r, who, a, nil)
	}
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, who string, a Apply, t *template.Template) {
	result := s.backend.Change(r.Context(), template.Change{
		Name:      r.PathValue("name"),
		Expected:  a.Expected,
		Template:  t,
		Who:       who,
		Why:       a.Why,
		Operation: a.Operation,
	})
	writeJSON(w, statusOf(result), result)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, who string) {
	var d Drain
	if !readJSON(w, r, &d) {
		return
	}
	result := s.backend.Drain(r.Context(), r.PathValue("id"), who, d)
	writeJSON(w, statusOf(result), result)
}

// statusOf maps an outcome to an HTTP status. Unknown is 504, since the change may
// have been stored.
func statusOf(r ChangeResult) int {
	switch {
	case r.Outcome == template.Accepted || r.Outcome == template.Unchanged:
		return http.StatusOK
	case len(r.Problems) > 0:
		return http.StatusUnprocessableEntity
	case r.Outcome == template.Refused && r.Current == 0:
		return http.StatusServiceUnavailable
	case r.Outcome == template.Refused:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		problem.Write(w, problem.New(http.StatusBadRequest, verdict.NotRun, "the body can't be read: %s", err))
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, v any, err error) {
	var p *problem.Problem
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case asProblem(err, &p):
		problem.Write(w, p)
	default:
		problem.Write(w, problem.New(http.StatusServiceUnavailable, verdict.NotRun, "the object API does not answer: %s", err))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
