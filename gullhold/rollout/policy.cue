// What a policy may say. A name that is not here is refused: an older program never runs half of a newer one.
policy: #Policy

#Policy: {
	// Shares of tenants, by name; who is not named keeps the agreement's.
	shares: {[string]: number & >0 & <=1000}
	// By profile: priority of its sends, most MB granted, most sends of one command.
	priorities: {[string]: int & >=1 & <=3}
	grants:     {[string]: int & >=1 & <=1000000}
	sends:      {[string]: int & >=1 & <=100}
	// Wholes of the fleet's budgets, by the operator's word (threads) or for one (taken/desk).
	budgets: {[string]: int & >=1 & <=1000000000000}
	// Weights of clients at the door, against 1; whether a scheduled command runs.
	clients:   {[string]: number & >0 & <=1000}
	schedules: {[string]: bool}
}
