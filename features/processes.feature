Feature: Promises hold while processes fail and change

  Real processes on loopback: balancers, agents with a backend server each,
  and a fabric that hands every datagram to a random balancer.

  Scenario: A planned replacement of a balancer breaks no flow
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And balancer-1 gets SIGTERM
    And every flow sends 10 datagrams
    Then no flow has changed its backend server
    And balancer-1 has exited with 0

  Scenario: The death of a balancer breaks no flow
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And balancer-2 gets SIGKILL
    And every flow sends 10 datagrams
    Then no flow has changed its backend server

  Scenario: A drained agent keeps its flows and gets no new ones
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And desk-1 is drained
    And every flow sends 10 datagrams
    Then no flow has changed its backend server
    When 60 flows are opened
    Then desk-1 has none of the new flows

  Scenario: The death of an agent ends only its own flows
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And desk-2 gets SIGKILL
    And every flow sends 10 datagrams
    Then only flows of desk-2 have changed their backend server

  Scenario: A paused agent keeps its flows
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And desk-3 is paused for 5 s under traffic
    And every flow sends 10 datagrams
    Then no flow has changed its backend server

  Scenario: A planned stop of an agent cuts no request
    Given a service with 3 balancers and 4 agents
    When 20 requests of 1000 ms are sent
    And desk-1 gets SIGTERM
    Then every request is answered and none runs twice

  Scenario: A planned stop of a balancer cuts no request
    Given a service with 3 balancers and 4 agents
    When 20 requests of 1000 ms are sent
    And balancer-1 gets SIGTERM
    Then every request is answered and none runs twice

  Scenario: Requests with a key run at most once while an agent dies
    Given a service with 3 balancers and 4 agents
    When 30 requests of 500 ms are sent
    And desk-2 gets SIGKILL
    Then no request runs twice

  Scenario: Requests with a key run at most once while an agent is paused
    Given a service with 3 balancers and 4 agents
    When 30 requests of 500 ms are sent
    And desk-3 is paused for 5 s under traffic
    Then no request runs twice

  Scenario: Requests with a key run while the store is down
    Given a service with 3 balancers and 4 agents
    When the store gets SIGKILL
    And 20 requests of 200 ms are sent
    Then every request is answered and none runs twice

  Scenario: A repeated key gets the stored answer through another balancer
    Given a service with 3 balancers and 4 agents
    When a request with key order-1 is sent through balancer-1
    And a request with key order-1 is sent through balancer-2
    Then both answers are the same and the second one is replayed

  Scenario: A stopped agent tells the callers of its flows
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And desk-1 is ended by two SIGTERM
    Then every flow of desk-1 got the reset payload

  Scenario: A balancer that is stopped twice refuses honestly
    Given a service with 3 balancers and 4 agents
    When 12 requests of 3000 ms are sent
    And balancer-1 is ended by two SIGTERM
    Then every request is answered or refused and none runs twice

  Scenario: Hostile datagrams and requests stop no process
    Given a service with 3 balancers and 4 agents
    When 60 flows are opened
    And hostile input reaches every port
    And every flow sends 10 datagrams
    Then no flow has changed its backend server
    And every process is ready

  Scenario: The built file runs every process
    Given the built file is used
    And a service with 2 balancers and 2 agents
    When 10 flows are opened
    And 5 requests of 10 ms are sent
    Then no flow has changed its backend server
    And every request is answered and none runs twice
