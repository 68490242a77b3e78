Feature: What must always hold
  Each scenario is one promise. Changes happen while flows open and run.

  Background:
    Given the deployment of Tenggara Kilang
    And upstreams that bear 3 openings a second cold and 12 after 8 s
    And 300 flows that open over 6 s
    And 3 s pass

  Scenario: An established flow survives a drain
    When upstream qa-desk-2 drains
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done
    And no slot is contested

  Scenario: An established flow survives an upstream that is added
    When an upstream is added in cyberjaya
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done
    And qa-desk-7 accepted openings

  Scenario: An established flow survives a drain that is taken back
    When upstream qa-desk-2 drains
    And 2 s pass
    And upstream qa-desk-2 no longer drains
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done
    And no slot is contested

  Scenario: An instance that joins breaks no flow
    When upstream qa-desk-2 drains
    And an instance joins in cyberjaya
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done

  Scenario: A planned stop of an instance cuts no request
    When upstream qa-desk-2 drains
    And 1 s passes
    And the home of qa-desk-2 stops
    And 200 flows open over 10 s
    And 30 s pass
    Then every flow is done

  Scenario: A packet never reaches another service's upstream
    When 200 flows of cert-store open over 6 s
    And failure domain port-klang is taken out
    And 10 s pass
    And failure domain port-klang is brought back
    And 30 s pass
    Then no packet reached another service's upstream

  Scenario: A freshly started upstream receives no more than it can bear
    When failure domain port-klang is taken out
    And 10 s pass
    And failure domain port-klang is brought back
    And 500 flows open over 10 s
    And 30 s pass
    Then no upstream got more openings than it bears
    And no flow is broken

  Scenario: An added upstream receives no more than it can bear
    When an upstream is added in cyberjaya
    And 600 flows open over 6 s
    And 25 s pass
    Then no upstream got more openings than it bears
    And every flow is done

  Scenario: A failure domain that is out receives no more packets after a few seconds
    When failure domain port-klang is taken out
    And 5 s pass
    And what upstreams receive is counted from now
    And 200 flows open over 6 s
    And 20 s pass
    Then failure domain port-klang received no packet
    And no flow is broken
    And no flow is refused

  Scenario: A caller receives the whole answer, late or out of order
    When answers are delayed by up to 0.8 s
    And upstream qa-desk-2 drains
    And 200 flows open over 6 s
    And 40 s pass
    Then every flow is done

  Scenario: A refusal that says "not run" is true
    When every upstream refuses openings
    And 200 flows open over 6 s
    And 30 s pass
    Then some flows are refused
    And no refused flow was accepted by an upstream
    And no flow is broken

  Scenario: A request runs at most once
    When messages are lost in 10 and doubled in 20 of 100 cases
    And answers are delayed by up to 0.8 s
    And upstream qa-desk-2 drains
    And an instance joins in shah-alam
    And 200 flows open over 6 s
    And 40 s pass
    Then no request ran at two upstreams
    And no flow is broken

  Scenario: A leaving upstream receives no new work after a few seconds
    When upstream qa-desk-2 drains
    And 5 s pass
    And what upstreams receive is counted from now
    And 200 flows open over 6 s
    And 20 s pass
    Then qa-desk-2 accepted nothing
    And every flow is done

  Scenario: A configuration is in force everywhere within seconds and never reverts
    When upstream qa-desk-2 drains
    And 5 s pass
    Then every instance has the published version
    When the platform serves the first version
    And an instance joins in cyberjaya
    And 10 s pass
    Then every instance has the published version
    And no version reverts
