package forward

import (
	"sloeturn/ident"
)

// retryBudget is the token bucket of a node's retries and hedges at one service: its tokens, the most it
// may hold, and the share of a token that each first attempt adds.
type retryBudget struct {
	tokens   float64
	capacity float64
	ratio    float64
}

// SetRetryBudget sets the capacity of a service's retry budget and what each first attempt adds to it.
func (s *State) SetRetryBudget(service ident.Service, capacity int, ratio float64) {
	budget := s.budgets[service]
	if budget == nil {
		budget = &retryBudget{}
		s.budgets[service] = budget
	}
	budget.capacity, budget.ratio = float64(capacity), ratio
	budget.tokens = min(budget.tokens, budget.capacity)
}

// CreditRetries adds retries to the budget of a service, up to its capacity.
func (s *State) CreditRetries(service ident.Service, retries float64) {
	if budget := s.budgets[service]; budget != nil {
		budget.tokens = min(budget.capacity, budget.tokens+retries)
	}
}

// creditFirstAttempt adds to the budget what a first attempt earns.
func (s *State) creditFirstAttempt(service ident.Service) {
	if budget := s.budgets[service]; budget != nil {
		s.CreditRetries(service, budget.ratio)
	}
}

// spendRetry takes one retry from a service's budget, if there is one.
func (s *State) spendRetry(service ident.Service) bool {
	budget := s.budgets[service]
	if budget == nil || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	s.Counters["further"]++
	return true
}

// refundRetry gives back a retry that never left this node.
func (s *State) refundRetry(service ident.Service) {
	if budget := s.budgets[service]; budget != nil {
		budget.tokens = min(budget.capacity, budget.tokens+1)
		s.Counters["further"]--
	}
}
