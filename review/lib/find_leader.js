import {request} from 'node:http';

const METRICS_PORT = 9_464;

/** The core node that dispatches, by its metrics. */
export async function findLeader(deployment) {
  for (const node of deployment.ofRole('core')) {
    const metrics = await readMetrics(node.ip);
    if (/^\S*is_leading\S* 1$/m.test(metrics)) return node;
  }
  throw new Error('no core node leads');
}

function readMetrics(host) {
  return new Promise((resolve, reject) => {
    const req = request({host, port: METRICS_PORT, path: '/metrics'}, res => {
      let text = '';
      res.setEncoding('utf8').on('data', chunk => (text += chunk));
      res.on('end', () => resolve(text));
    });
    req.on('error', reject).end();
  });
}
