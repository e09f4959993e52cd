package engine

// Order instructs an engine to load a model version or an adapter, or to change its
// role.
type Order struct {
	// Fence is the fencing number: newer orders carry higher numbers.
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// orderVersion is the kind of the orders to load a model version.
const orderVersion = "version"

// orderBook holds the orders that took effect.
type orderBook struct {
	// fence is the highest fencing number so far.
	fence int64
	// applied lists the orders in the sequence in which they took effect.
	applied []Order
	// current maps each kind of order to the value of its latest order.
	current map[string]string
}

// TakeOrder applies an order. It returns false if the engine checks fencing numbers
// and the order's fencing number is not greater than those of all earlier orders.
func (e *Engine) TakeOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.Fence <= e.orders.fence {
		return false
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.applied = append(e.orders.applied, o)
	if e.orders.current == nil {
		e.orders.current = map[string]string{}
	}
	e.orders.current[o.Kind] = o.Value
	return true
}

// Orders returns the orders in the sequence in which they took effect.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.applied...)
}
