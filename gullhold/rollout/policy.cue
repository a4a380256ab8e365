// The settings that a policy may have. A policy with any other name is rejected as a whole, so that an older
// version of the program never applies only a part of a policy that was written for a newer one.
policy: #Policy

#Policy: {
	// Shares of tenants, by name; a tenant that is not named keeps its share of the agreement.
	shares: {[string]: number & >0 & <=1000}
	// By profile: priority of its attempts, largest memory grant in MB, maximum attempts of one command.
	priorities: {[string]: int & >=1 & <=3}
	grants:     {[string]: int & >=1 & <=1000000}
	sends:      {[string]: int & >=1 & <=100}
	// Totals of the fleet's budgets, by their names in the operator file: a kind (threads), or a kind and a
	// tenant (taken/desk).
	budgets: {[string]: int & >=1 & <=1000000000000}
	// Weights of clients in the admission queue (default 1); whether a scheduled command runs, by its name.
	clients:   {[string]: number & >0 & <=1000}
	schedules: {[string]: bool}
}
