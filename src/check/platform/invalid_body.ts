import type {OperatorConfig} from './operator_config.js';

type Body = ReturnType<OperatorConfig['toBody']>;
type Breakage = (body: Body) => string;

/** Changes the first route of a configuration. */
function withFirstRoute(change: (route: Body['routes'][number]) => object) {
  return (body: Body) => {
    const [first, ...others] = body.routes;
    return JSON.stringify({...body, routes: [change(first!), ...others]});
  };
}

/** Ways in which a configuration is invalid, each with a body that has it. */
export const InvalidBody: Readonly<Record<string, Breakage>> = {
  cutOff: body => JSON.stringify(body).slice(0, -40),
  incomplete: ({version, routes, backends}) =>
    JSON.stringify({version, routes, backends}),
  wrongType: body => JSON.stringify({...body, routes: 'none'}),
  unknownService: withFirstRoute(route => ({...route, backend: 'missing'})),
  zeroTimeout: withFirstRoute(route => ({...route, timeout_ms: 0})),
  samePlace: body => {
    const routes = [...body.routes, {...body.routes[0]!, name: 'second'}];
    return JSON.stringify({...body, routes});
  },
};
