"""Types that cores and processes exchange: messages, events, actions, packets, budgets."""
