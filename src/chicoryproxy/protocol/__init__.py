"""Types that decision cores and processes exchange: messages, events, actions and packets."""
