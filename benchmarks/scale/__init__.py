"""Cost of a fleet at its target size: cost by list size, hollow fleets on sockets, and fleets in simulated time."""
