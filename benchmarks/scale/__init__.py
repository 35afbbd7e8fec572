"""What the fleet costs at the operators' size: measured slopes, hollow fleets on sockets and fleets in simulated time."""
