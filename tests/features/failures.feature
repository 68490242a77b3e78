Feature: Failures
  Each scenario injects one failure, or two at the same time.

  Background:
    Given the deployment of Al Batinah
    And upstreams that can take 3 openings a second when cold and 12 after 8 s
    And 300 flows that open over 6 s
    And 3 s pass

  Scenario: An instance dies while an upstream drains
    When upstream recovery-log-2 drains
    And 1 s passes
    And the home of recovery-log-2 is killed
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: Updates reach instances at different times
    When 30% of messages are lost and 20% are duplicated
    And messages are delayed by up to 0.3 s
    And upstream recovery-log-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: An upstream returns to a cold start without notice
    When upstream recovery-log-1 goes cold
    And 2 s pass
    And overload openings are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream is overloaded
    And every flow completes

  Scenario: An upstream goes cold while its health endpoint reports ready and responds late
    When the health endpoint of recovery-log-1 responds 2 s late
    And upstream recovery-log-1 goes cold
    And 5 s pass
    And overload openings are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream is overloaded
    And every flow completes

  Scenario: An upstream sheds load
    When upstream recovery-log-3 sheds load
    And 5 s pass
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no refused flow was accepted by an upstream
    And at least 90% of flows complete

  Scenario: A health endpoint reports cold for an upstream that is ready
    When the health endpoint of recovery-log-3 reports cold
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
    Then every flow completes

  Scenario: The platform serves an older version
    When upstream recovery-log-2 drains
    And 5 s pass
    And the platform serves the first version
    And packets and openings of upstreams are counted from now
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes
    And recovery-log-2 accepted no openings
    And no version reverts

  Scenario: An instance resumes from a pause with an old view
    When instance entry-3 pauses for 6 s
    And upstream recovery-log-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no slot is contested

  Scenario: A failure domain is isolated from the others
    When failure domain sohar-b is isolated
    And 8 s pass
    And the network recovers
    And 30 s pass
    Then no flow from before the isolation is broken

  Scenario: A failure domain is isolated together with its callers
    When failure domain sohar-b is isolated
    And callers cannot reach failure domain sohar-b
    And 200 flows open over 8 s
    And 10 s pass
    And the network recovers
    And 30 s pass
    Then no flow is broken
    And at least 90% of flows complete

  Scenario: An upstream drains while a failure domain is out
    When upstream recovery-log-3 drains
    And failure domain sohar-b is taken out
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken
    And no slot is contested

  Scenario: An instance is killed during its handover
    When upstream recovery-log-2 drains
    And 1 s passes
    And the home of recovery-log-2 stops and is killed 0.002 s later
    And 200 flows open over 10 s
    And 30 s pass
    Then no flow is broken

  Scenario: An upstream goes cold while the platform is down
    When the platform is down
    And upstream recovery-log-1 goes cold
    And 2 s pass
    And overload openings are counted from now
    And 300 flows open over 10 s
    And 30 s pass
    Then no upstream is overloaded
    And every flow completes

  Scenario: A partition during a version change
    When failure domain sohar-b is isolated
    And upstream recovery-log-2 drains
    And 8 s pass
    And the network recovers
    And 30 s pass
    Then no flow from before the isolation is broken
    And every instance has the published version

  Scenario: The owner of a cold upstream pauses
    When failure domain sohar-b is taken out
    And 5 s pass
    And failure domain sohar-b is brought back
    And 500 flows open over 10 s
    And 2 s pass
    And the owner of recovery-log-1 pauses for 5 s
    And 30 s pass
    Then no upstream is overloaded
    And no flow is broken

  Scenario: Further versions are published before the first is applied
    When upstream recovery-log-2 drains
    And 0.3 s pass
    And upstream recovery-log-3 drains
    And 0.3 s pass
    And upstream recovery-log-2 no longer drains
    And 200 flows open over 10 s
    And 40 s pass
    Then every flow completes
    And no slot is contested

  Scenario: Two instances die at the same time while an upstream drains
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
