Feature: Invariants
  Each scenario checks one invariant while the fleet changes and flows open and run.

  Background:
    Given the deployment of Tenggara Kilang
    And upstreams that can take 3 openings a second when cold and 12 after 8 s
    And 300 flows that open over 6 s
    And 3 s pass

  Scenario: An established flow survives a drain
    When upstream qa-desk-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes
    And no slot is contested

  Scenario: An established flow survives an upstream that is added
    When an upstream is added in cyberjaya
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes
    And qa-desk-7 accepted openings

  Scenario: An established flow survives a drain that is cancelled
    When upstream qa-desk-2 drains
    And 2 s pass
    And upstream qa-desk-2 no longer drains
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes
    And no slot is contested

  Scenario: A joining instance breaks no flow
    When upstream qa-desk-2 drains
    And an instance joins in cyberjaya
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes

  Scenario: A graceful stop of an instance aborts no request
    When upstream qa-desk-2 drains
    And 1 s passes
    And the home of qa-desk-2 stops
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow completes

  Scenario: A packet never reaches an upstream of another service
    When 200 flows of cert-store open over 6 s
    And failure domain port-klang is taken out
    And 10 s pass
    And failure domain port-klang is brought back
    And 30 s pass
    Then no packet reached an upstream of another service

  Scenario: A newly started upstream is not overloaded
    When failure domain port-klang is taken out
    And 10 s pass
    And failure domain port-klang is brought back
    And 500 flows open over 10 s
    And 30 s pass
    Then no upstream is overloaded
    And no flow is broken

  Scenario: An added upstream is not overloaded
    When an upstream is added in cyberjaya
    And 600 flows open over 6 s
    And 25 s pass
    Then no upstream is overloaded
    And every flow completes

  Scenario: A failure domain that is out receives no more packets after a few seconds
    When failure domain port-klang is taken out
    And 5 s pass
    And packets and openings of upstreams are counted from now
    And 200 flows open over 6 s
    And 20 s pass
    Then failure domain port-klang received no packet
    And no flow is broken
    And no flow is refused

  Scenario: A caller receives complete responses that are late or out of order
    When answers are delayed by up to 0.8 s
    And upstream qa-desk-2 drains
    And 200 flows open over 6 s
    And 40 s pass
    Then every flow completes

  Scenario: A refused request was not run
    When every upstream refuses openings
    And 200 flows open over 6 s
    And 30 s pass
    Then some flows are refused
    And no refused flow was accepted by an upstream
    And no flow is broken

  Scenario: A request runs at most once
    When 10% of messages are lost and 20% are duplicated
    And answers are delayed by up to 0.8 s
    And upstream qa-desk-2 drains
    And an instance joins in shah-alam
    And 200 flows open over 6 s
    And 40 s pass
    Then no request ran on two upstreams
    And no flow is broken

  Scenario: A draining upstream receives no openings after a few seconds
    When upstream qa-desk-2 drains
    And 5 s pass
    And packets and openings of upstreams are counted from now
    And 200 flows open over 6 s
    And 20 s pass
    Then qa-desk-2 accepted no openings
    And every flow completes

  Scenario: A configuration applies on all instances within seconds and never reverts
    When upstream qa-desk-2 drains
    And 5 s pass
    Then every instance has the published version
    When the platform serves the first version
    And an instance joins in cyberjaya
    And 10 s pass
    Then every instance has the published version
    And no version reverts
