Feature: What fails
  Each scenario is one failure, or two at the same moment.

  Background:
    Given the deployment of Al Batinah
    And upstreams that bear 3 openings a second cold and 12 after 8 s
    And 300 flows that open over 6 s
    And 3 s pass

  Scenario: An instance dies while an upstream drains
    When upstream recovery-log-2 drains
    And 1 s passes
    And the home of recovery-log-2 is killed
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: Updates reach different instances unevenly
    When messages are lost in 30 and doubled in 20 of 100 cases
    And messages are delayed by up to 0.3 s
    And upstream recovery-log-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: An upstream falls back into a cold start without warning
    When upstream recovery-log-1 goes cold
    And 2 s pass
    And openings above what upstreams bear are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream got more openings than it bears
    And every flow is done

  Scenario: An upstream goes cold while its health endpoint says that it is ready and lags
    When health of recovery-log-1 lags 2 s
    And upstream recovery-log-1 goes cold
    And 5 s pass
    And openings above what upstreams bear are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream got more openings than it bears
    And every flow is done

  Scenario: An upstream sheds load
    When upstream recovery-log-3 sheds
    And 5 s pass
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no refused flow was accepted by an upstream
    And at least 90 of 100 flows are done

  Scenario: A health endpoint says cold of an upstream that is ready
    When health of recovery-log-3 says cold
    And 300 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no flow is refused

  Scenario: The platform is down
    When the platform is down
    And 30 s pass
    And 200 flows open over 10 s
    And an instance joins in sohar-a
    And 30 s pass
    Then every flow is done

  Scenario: The platform serves an older version
    When upstream recovery-log-2 drains
    And 5 s pass
    And the platform serves the first version
    And what upstreams receive is counted from now
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done
    And recovery-log-2 accepted nothing
    And no version reverts

  Scenario: An instance pauses and wakes on an old view
    When instance entry-3 pauses for 6 s
    And upstream recovery-log-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no slot is contested

  Scenario: A failure domain is cut off from the others
    When failure domain sohar-b is cut off
    And 8 s pass
    And the network heals
    And 30 s pass
    Then no flow from before the cut is broken

  Scenario: A failure domain is cut off together with its callers
    When failure domain sohar-b is cut off
    And callers do not reach failure domain sohar-b
    And 200 flows open over 8 s
    And 10 s pass
    And the network heals
    And 30 s pass
    Then no flow is broken
    And at least 90 of 100 flows are done

  Scenario: A drain during a domain-out
    When upstream recovery-log-3 drains
    And failure domain sohar-b is taken out
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no slot is contested

  Scenario: An instance is killed during its hand-over
    When upstream recovery-log-2 drains
    And 1 s passes
    And the home of recovery-log-2 stops and is killed 0.002 s later
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: A cold fallback while the platform is down
    When the platform is down
    And upstream recovery-log-1 goes cold
    And 2 s pass
    And openings above what upstreams bear are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream got more openings than it bears
    And every flow is done

  Scenario: A partition during a version change
    When failure domain sohar-b is cut off
    And upstream recovery-log-2 drains
    And 8 s pass
    And the network heals
    And 30 s pass
    Then no flow from before the cut is broken
    And every instance has the published version

  Scenario: The owner of a cold upstream pauses
    When failure domain sohar-b is taken out
    And 5 s pass
    And failure domain sohar-b is brought back
    And 500 flows open over 10 s
    And 2 s pass
    And the owner of recovery-log-1 pauses for 5 s
    And 30 s pass
    Then no upstream got more openings than it bears
    And no flow is broken

  Scenario: Two versions within the delay of the first
    When upstream recovery-log-2 drains
    And 0.3 s pass
    And upstream recovery-log-3 drains
    And 0.3 s pass
    And upstream recovery-log-2 no longer drains
    And 200 flows open over 10 s
    And 40 s pass
    Then every flow is done
    And no slot is contested

  Scenario: Two instances die at once while an upstream drains
    When upstream recovery-log-2 drains
    And 1 s passes
    And instance entry-3 is killed
    And instance entry-5 is killed
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: An instance dies as another one joins
    When upstream recovery-log-2 drains
    And an instance joins in sohar-a
    And the home of recovery-log-2 is killed
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
